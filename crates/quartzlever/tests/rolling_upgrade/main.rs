//! Rolling upgrades from the version in production to the present version.
//!
//! Real processes of both versions share a fake store, a fake cloud and a fleet of fake workers
//! while the controllers are replaced in several orders. The rule checker of the testkit verifies
//! the protocol from what workers and users observe.
//!
//! The version in production is built from the history of the repository, so the tests need a full
//! clone. Every wait allows for the leases to expire; a run takes about two minutes.

mod testbed;

use testbed::{PARTITIONS, Testbed, Version};

/// Upgrades the controllers in groups. After each group, every node must answer for jobs that a
/// node of either version accepted. No node may accept a service before the last group.
fn check_upgrade_in_groups(name: &'static str, groups: &[&[usize]]) {
    let mut bed = Testbed::start(name, [Version::Production; 3]);
    bed.check_jobs_known_everywhere();
    for (index, nodes) in groups.iter().enumerate() {
        bed.restart(nodes, Version::Present);
        bed.check_jobs_known_everywhere();
        if index + 1 < groups.len() {
            bed.expect_services_refused();
        }
    }
    bed.finish();
}

#[test]
fn jobs_survive_an_upgrade_of_one_controller_at_a_time_in_order() {
    check_upgrade_in_groups("first", &[&[0], &[1], &[2]]);
}

#[test]
fn jobs_survive_an_upgrade_of_one_controller_at_a_time_from_the_last() {
    check_upgrade_in_groups("last", &[&[2], &[0], &[1]]);
}

#[test]
fn jobs_survive_an_upgrade_of_two_controllers_and_then_one() {
    check_upgrade_in_groups("two", &[&[1, 2], &[0]]);
}

#[test]
fn jobs_survive_an_upgrade_of_all_controllers_at_once() {
    check_upgrade_in_groups("three", &[&[0, 1, 2]]);
}

/// An old process takes over a partition of a new one that was killed, with its machines and the
/// unfinished tasks of batch jobs. It is killed, is started again in the old version and leads the
/// partition again, and hands it back to a new process.
#[test]
fn an_old_process_can_lead_a_partition_after_a_new_one() {
    let mut bed = Testbed::start("holds", [Version::Production; 3]);
    bed.restart(&[0], Version::Present);
    bed.expect_leader(0, 0);
    bed.submit_batch_jobs(&[0, 1, 2]);
    bed.kill(&[0]);
    let old_node = bed.expect_taken_over(0, &[1, 2]);
    bed.check_jobs_known_everywhere();
    bed.restart(&[old_node], Version::Production);
    bed.expect_leader(0, old_node);
    bed.submit_batch_jobs(&[1, 2]);
    bed.restart(&[0], Version::Present);
    bed.expect_leader(0, 0);
    bed.check_jobs_known_everywhere();
    bed.expect_services_refused();
    bed.restart(&[1], Version::Present);
    bed.restart(&[2], Version::Present);
    bed.finish();
}

/// A new process takes over the partition of an old one that was killed, and hands it back when the
/// old version is started again.
#[test]
fn a_new_process_can_lead_a_partition_after_an_old_one() {
    let mut bed = Testbed::start("takes", [Version::Production; 3]);
    bed.restart(&[0, 1], Version::Present);
    bed.submit_batch_jobs(&[2, 2, 0]);
    bed.kill(&[2]);
    bed.expect_taken_over(2, &[0, 1]);
    bed.check_jobs_known_everywhere();
    bed.restart(&[2], Version::Production);
    bed.expect_leader(2, 2);
    bed.expect_services_refused();
    bed.restart(&[2], Version::Present);
    bed.finish();
}

/// All controllers are killed twice while both versions are in use, and then all are started in the
/// present version.
#[test]
fn jobs_survive_two_kills_of_all_controllers_during_an_upgrade() {
    let mut bed = Testbed::start("killed", [Version::Production; 3]);
    bed.submit_batch_jobs(&[0, 1, 2]);
    bed.restart(&[1], Version::Present);
    bed.kill(&[0, 1, 2]);
    bed.start_nodes(&[0, 2], Version::Production);
    bed.start_nodes(&[1], Version::Present);
    bed.check_jobs_known_everywhere();
    bed.expect_services_refused();
    bed.kill(&[0, 1, 2]);
    bed.start_nodes(&[0, 1, 2], Version::Present);
    bed.finish();
}

/// After the cluster version is raised, a process of the version in production is started at one
/// node. It must lead no partition, and must break no rule.
#[test]
fn an_old_process_leads_no_partition_after_the_upgrade() {
    let mut bed = Testbed::start("late", [Version::Present; 3]);
    bed.expect_version_raised();
    bed.start_service();
    bed.submit_batch_jobs(&[0, 1, 2]);
    bed.restart(&[1], Version::Production);
    for partition in 0..PARTITIONS.len() {
        bed.expect_taken_over(partition, &[0, 2]);
    }
    bed.submit_batch_jobs(&[0, 2]);
    // The leader of a partition is killed and restarted while the old process is running.
    bed.restart(&[0], Version::Present);
    bed.expect_taken_over(0, &[0, 2]);
    bed.expect_taken_over(1, &[0, 2]);
    bed.restart(&[1], Version::Present);
    bed.expect_leader(1, 1);
    bed.finish();
}
