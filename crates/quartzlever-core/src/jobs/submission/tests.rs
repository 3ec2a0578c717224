//! Which partition a new job enters, and the conditions on which it is accepted.

use rand::SeedableRng;

use super::*;
use crate::testing::*;

/// Returns a cache in which nodes lead partitions, given as (partition, node, term).
fn cache(partitions: &[(&str, &str, u64)]) -> Cache {
    let mut cache = Cache::default();
    for (name, node, term) in partitions {
        let record = PartitionRecord { node: (*node).into(), process: 77 };
        cache.record_partition(name, record, *term);
    }
    cache
}

fn choose(
    cache: &Cache,
    config: &Config,
    own: Option<LedPartition<'_>>,
    spec: &JobSpec,
) -> Option<(String, u64)> {
    let leads = |name: &str| own.is_some_and(|own| own.name == name);
    let choice = EntryChoice { config, cache, own, leads };
    let mut rng = SmallRng::seed_from_u64(1);
    choice.choose(spec, &mut rng).map(|entry| (entry.partition, entry.term))
}

#[test]
fn a_job_enters_the_own_partition_or_else_any_with_a_leader() {
    let own = Some(LedPartition { name: "one", term: 5 });
    let (free, both) = (spec(2), cache(&[("one", "one", 5), ("two", "two", 6)]));
    assert_eq!(choose(&both, &config(), own, &free), Some(("one".into(), 5)));
    let other = cache(&[("two", "two", 6)]);
    assert_eq!(choose(&other, &config(), None, &free), Some(("two".into(), 6)));
    assert_eq!(choose(&Cache::default(), &config(), None, &free), None);
}

/// A team's limit is enforced by the one leader that knows all its jobs.
#[test]
fn all_jobs_of_a_limited_team_enter_one_partition_whichever_node_leads_it() {
    let limited = JobSpec { team: "tight".into(), ..spec(2) };
    let home = config().partition_of_team("tight").to_owned();
    let away = if home == "one" { "two" } else { "one" };
    let own = Some(LedPartition { name: away, term: 5 });
    let led = cache(&[(&home, "any", 8)]);
    assert_eq!(choose(&led, &config(), own, &limited), Some((home.clone(), 8)));
    let nobody = Cache::default();
    assert_eq!(choose(&nobody, &config(), own, &limited), Some((home, 0)), "no leader");
}

#[test]
fn a_job_enters_another_partition_only_if_it_has_far_fewer_tasks_and_is_led_by_its_own_node() {
    let own = Some(LedPartition { name: "one", term: 5 });
    // (tasks of the own partition; tasks of the other; node that leads the other; partition
    // entered)
    for (tasks, other, node, enters) in [
        (100, 0, "two", "one"),
        (101, 0, "two", "two"),
        (150, 74, "two", "two"),
        (150, 75, "two", "one"),
        (150, 0, "three", "one"),
    ] {
        let mut cache = cache(&[("one", "one", 5), ("two", node, 6)]);
        for (number, count, partition) in [(1, tasks, "one"), (2, other, "two")] {
            let record = record_of(number, count, partition);
            cache.record_active_job(record, 10);
        }
        let config = Config { machine_capacity: 100, ..config() };
        let found = choose(&cache, &config, own, &spec(4)).map(|(name, _)| name);
        assert_eq!(found.as_deref(), Some(enters), "{tasks} {other} {node}");
    }
}

#[test]
fn a_job_is_permanently_refused_only_if_it_can_never_run() {
    let service = JobSpec { shape: Shape::Service, ..spec(2) };
    for (feasibility, job, services, refused) in [
        (Feasibility::Fits, &spec(2), false, None),
        (Feasibility::Fits, &service, true, None),
        (Feasibility::Fits, &service, false, Some(Refusal::Temporary)),
        (Feasibility::Unknown, &spec(2), true, Some(Refusal::Temporary)),
        (Feasibility::Never, &service, false, Some(Refusal::Permanent)),
    ] {
        assert_eq!(refusal(feasibility, job, services), refused, "{feasibility:?} {services}");
    }
}

#[test]
fn a_job_is_accepted_once_and_under_the_term_of_its_partition() {
    for (term, conditions) in [
        (5, vec![("live/req-1", 0), ("over/req-1", 0), ("parts/one", 5)]),
        (0, vec![("live/req-1", 0), ("over/req-1", 0)]),
    ] {
        let entry = || EntryPartition { partition: "one".into(), term };
        let planned = plan_acceptance(&spec(4), entry(), NOW, 16 * 1024).expect("it fits");
        let found: Vec<(&str, u64)> =
            planned.txn.conditions.iter().map(|c| (c.path.as_str(), c.mod_revision)).collect();
        assert_eq!(found, conditions);
        assert_eq!(planned.record.unfinished_tasks_of("one"), Ranges::up_to(4));
        let size = Json::of(&*planned.record).text().len();
        assert!(plan_acceptance(&spec(4), entry(), NOW, size).is_some());
        assert!(plan_acceptance(&spec(4), entry(), NOW, size - 1).is_none(), "too large");
    }
}

#[test]
fn a_conflict_distinguishes_a_repeated_submission_from_a_changed_leader() {
    let conflict = |keys: &[&str]| {
        Ok(StoreReply::Conflict(keys.iter().map(|key| (*key).to_owned()).collect()))
    };
    for (result, outcome) in [
        (Ok(StoreReply::Committed(7)), AcceptOutcome::Committed { mod_revision: 7 }),
        (conflict(&["live/req-1"]), AcceptOutcome::AlreadyExists),
        (conflict(&["over/req-1", "parts/one"]), AcceptOutcome::AlreadyExists),
        (conflict(&["parts/one"]), AcceptOutcome::PartitionChanged),
        (Ok(StoreReply::TooLarge), AcceptOutcome::Failed),
        (Err(CallError::Unknown), AcceptOutcome::Failed),
    ] {
        assert_eq!(AcceptOutcome::of(&result), outcome, "{result:?}");
    }
}
