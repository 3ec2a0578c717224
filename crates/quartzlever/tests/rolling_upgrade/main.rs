//! The program in production and this one, as real processes side by side on one store, one cloud
//! and one fleet of workers, while controllers are replaced in several orders. The checker of the
//! protocol's rules judges from what workers and users saw.
//!
//! The version in production is built from the repository's own history, so a clone needs it in
//! full. Nothing here waits for less than the leases need; a run takes about two minutes.

mod testbed;

use testbed::{PARTITIONS, Testbed, Version};

/// Replaces controllers, so many at a time, and lets both versions answer for each other's jobs
/// between.
fn replace_in_turns(name: &'static str, turns: &[&[usize]]) {
    let mut bed = Testbed::start(name, [Version::Production; 3]);
    bed.exchange_jobs();
    for (turn, nodes) in turns.iter().enumerate() {
        bed.restart(nodes, Version::Present);
        bed.exchange_jobs();
        if turn + 1 < turns.len() {
            bed.expect_services_refused();
        }
    }
    bed.finish();
}

#[test]
fn one_controller_at_a_time_from_the_first() {
    replace_in_turns("first", &[&[0], &[1], &[2]]);
}

#[test]
fn one_controller_at_a_time_from_the_last() {
    replace_in_turns("last", &[&[2], &[0], &[1]]);
}

#[test]
fn two_controllers_and_then_one() {
    replace_in_turns("two", &[&[1, 2], &[0]]);
}

#[test]
fn three_controllers_at_once() {
    replace_in_turns("three", &[&[0, 1, 2]]);
}

/// An old process takes a partition from a new one, with its machines and unfinished array tasks,
/// is killed, comes back old and holds it again, and hands it back to a new one.
#[test]
fn an_old_process_holds_what_a_new_one_had() {
    let mut bed = Testbed::start("holds", [Version::Production; 3]);
    bed.restart(&[0], Version::Present);
    bed.expect_leader(0, 0);
    bed.submit_arrays(&[0, 1, 2]);
    bed.kill(&[0]);
    let old = bed.expect_taken_over(0, &[1, 2]);
    bed.exchange_jobs();
    bed.restart(&[old], Version::Production);
    bed.expect_leader(0, old);
    bed.submit_arrays(&[1, 2]);
    bed.restart(&[0], Version::Present);
    bed.expect_leader(0, 0);
    bed.exchange_jobs();
    bed.expect_services_refused();
    bed.restart(&[1], Version::Present);
    bed.restart(&[2], Version::Present);
    bed.finish();
}

/// A new process takes a partition from an old one that does not come back for a while.
#[test]
fn a_new_process_holds_what_an_old_one_had() {
    let mut bed = Testbed::start("takes", [Version::Production; 3]);
    bed.restart(&[0, 1], Version::Present);
    bed.submit_arrays(&[2, 2, 0]);
    bed.kill(&[2]);
    bed.expect_taken_over(2, &[0, 1]);
    bed.exchange_jobs();
    bed.restart(&[2], Version::Production);
    bed.expect_leader(2, 2);
    bed.expect_services_refused();
    bed.restart(&[2], Version::Present);
    bed.finish();
}

/// All controllers are killed in the middle of the upgrade and once more after it.
#[test]
fn all_controllers_killed_at_once() {
    let mut bed = Testbed::start("killed", [Version::Production; 3]);
    bed.submit_arrays(&[0, 1, 2]);
    bed.restart(&[1], Version::Present);
    bed.kill(&[0, 1, 2]);
    bed.start_nodes(&[0, 2], Version::Production);
    bed.start_nodes(&[1], Version::Present);
    bed.exchange_jobs();
    bed.expect_services_refused();
    bed.kill(&[0, 1, 2]);
    bed.start_nodes(&[0, 1, 2], Version::Present);
    bed.finish();
}

/// After the cluster version is raised, a process of the version in production comes back at one
/// node. It must hold no partition, and whatever it does must break no rule.
#[test]
fn an_old_process_after_the_upgrade_holds_nothing() {
    let mut bed = Testbed::start("late", [Version::Present; 3]);
    bed.expect_raised();
    bed.start_service();
    bed.submit_arrays(&[0, 1, 2]);
    bed.restart(&[1], Version::Production);
    for partition in 0..PARTITIONS.len() {
        bed.expect_taken_over(partition, &[0, 2]);
    }
    bed.submit_arrays(&[0, 2]);
    // The leader of one partition dies while the old process is up.
    bed.restart(&[0], Version::Present);
    bed.expect_taken_over(0, &[0, 2]);
    bed.expect_taken_over(1, &[0, 2]);
    bed.restart(&[1], Version::Present);
    bed.expect_leader(1, 1);
    bed.finish();
}
