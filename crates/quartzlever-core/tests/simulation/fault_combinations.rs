//! Combinations of faults. Each row injects one, checks that it took effect, and must break no
//! rule. `docs/fault-combinations.md` names the code that handles each.

use quartzlever_core::Config;
use quartzlever_wire::SECOND;
use quartzlever_wire::users::Priority;

use crate::combination::*;
use crate::sim::{Counts, FaultRates, Simulation, job};

/// Cancels urgent jobs as soon as they are accepted, while direct commands are delayed for longer
/// than the tasks of a cancelled job may run.
fn cancel_while_commands_are_delayed(w: &mut Simulation, cloud_down: bool) {
    w.run_time = 40 * SECOND;
    submit(w, 90, 3, |_, _| {});
    w.run(6 * SECOND);
    w.command_delay = 24 * SECOND;
    w.cloud_down = cloud_down;
    for k in 0..14 {
        submit(w, k, 1, |_, s| {
            s.priority = Priority::Urgent;
            s.due_s = Some(3.2);
        });
        w.cancel_until_confirmed(k as usize % 3, &job(k, 1).id);
    }
    w.run(26 * SECOND);
}

/// Limits values so that four machines share a group: a claim that is committed late is then often
/// the latest change of its group.
fn small_groups(config: &mut Config) {
    config.value_bytes = 640;
}

const FAULT_COMBINATIONS: &[FaultCombination] = &[
    FaultCombination {
        name: "the store refuses only the leader, peers confirm cancellations, the store fails",
        first_seed: 0xbe58_f748_5529_1012,
        adjust_config: long_leases,
        inject: |w| refuse_leader_then_all(w, SECOND, |_, _| {}),
        took_effect: |c, r| {
            c.refused_one_node > 10
                && c.without_authority > 50
                && c.expired_leases > 4
                && r.cancellations >= 12
        },
    },
    FaultCombination {
        name: "the store refuses the leader, then fails; peers are isolated, machines hang for 9 s",
        first_seed: 0x09e6_7e8f_e17d_bdf7,
        adjust_config: long_leases,
        inject: |w| {
            w.isolated_from_peers.extend(0..NODES.len());
            refuse_leader_then_all(w, SECOND / 10, |w, ids| {
                let machines = w.machines_of(&ids[0]);
                set_hung(w, &machines, true);
                w.run(9 * SECOND);
                set_hung(w, &machines, false);
            });
        },
        took_effect: |c, r| {
            c.refused_one_node > 4
                && c.without_authority > 50
                && c.expired_leases > 4
                && r.cancellations >= 12
        },
    },
    FaultCombination {
        name: "jobs are cancelled as a slow store refuses the leader and fails a second later",
        first_seed: 0x3ff8_365e_7b32_929a,
        adjust_config: unchanged,
        inject: |w| {
            w.store_latency = SECOND / 2;
            refuse_leader_then_all(w, 0, |_, _| {});
            w.run(5 * SECOND);
        },
        took_effect: |c, r| {
            c.refused_one_node > 5 && c.refused_all_nodes > 20 && r.cancellations >= 4
        },
    },
    FaultCombination {
        name: "the store recovers, and the former leader finds lost tasks of cancelled jobs",
        first_seed: 0xe98f_e029_f8e5_1a2d,
        adjust_config: |config| {
            // When the store is back, the leader's view is still within its allowed age, but its
            // lease has expired.
            config.operator.lease_lifetime = 20 * SECOND;
            config.workers.cancel = 60 * SECOND;
        },
        inject: |w| {
            let ids = start_long_jobs(w);
            let (_, leader) = w.busiest_partition();
            w.isolated_from_peers.extend(0..NODES.len());
            w.refused_by_store.insert(leader);
            w.run(2 * SECOND);
            for id in &ids[..3] {
                w.cancel_until_confirmed(next_node(leader), id);
            }
            w.store.outage = true;
            w.run(14 * SECOND);
            let all = all_machines(w);
            set_hung(w, &all, true);
            w.cloud_down = true;
            w.run(16 * SECOND);
            set_hung(w, &all, false);
            (w.cloud_down, w.watch_latency) = (false, 3 * SECOND);
            let now = w.now;
            w.store.end_outage(now);
            w.run(2 * SECOND);
            w.refused_by_store.clear();
            w.run(5 * SECOND);
        },
        took_effect: |c, r| {
            c.refused_one_node > 20
                && c.expired_leases > 3
                && r.cancellations >= 8
                && r.starts_after_cancel == 0
        },
    },
    FaultCombination {
        name: "workers reach no controller while direct commands reach them",
        first_seed: 0x6e64_c16c_0157_cd5d,
        adjust_config: unchanged,
        inject: |w| {
            let ids = start_long_jobs(w);
            w.silent_machines.extend(all_machines(w));
            w.run(2 * SECOND);
            w.cancel_until_confirmed(0, &ids[0]);
            w.restart(1, SECOND);
            w.run(7 * SECOND);
            w.silent_machines.clear();
            w.run(4 * SECOND);
            w.silent_machines.extend(all_machines(w));
            w.cancel_until_confirmed(1, &ids[1]);
            w.run(16 * SECOND);
        },
        took_effect: |c, r| c.lost_heartbeats > 50 && r.cancellations >= 6,
    },
    FaultCombination {
        name: "jobs are cancelled in the seconds of a takeover",
        first_seed: 0x689f_0bf1_9c2a_7509,
        adjust_config: unchanged,
        inject: |w| {
            let ids = start_long_jobs(w);
            let (_, leader) = w.busiest_partition();
            w.kill(leader);
            for id in &ids {
                w.run(3 * SECOND / 2);
                w.cancel_until_confirmed(next_node(leader), id);
            }
            w.start(leader);
            w.run(4 * SECOND);
        },
        took_effect: |c, r| c.acquisitions > 12 && r.cancellations >= 12,
    },
    FaultCombination {
        name: "all controllers are down for longer than a lease",
        first_seed: 0x8456_9910_fd3e_ef05,
        adjust_config: unchanged,
        inject: |w| {
            let ids = start_long_jobs(w);
            for n in 0..NODES.len() {
                w.kill(n);
            }
            w.run(16 * SECOND);
            for n in 0..NODES.len() {
                w.start(n);
            }
            w.cancel_until_confirmed(0, &ids[0]);
        },
        took_effect: |c, _| c.expired_leases > 4,
    },
    FaultCombination {
        name: "jobs of two or three tasks complete far apart across a change of leader",
        first_seed: 0x1e0d_b151_31fc_2094,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = 4 * SECOND;
            submit(w, 0, 6, |k, s| s.tasks = 2 + k % 2);
            w.run(4 * SECOND);
            let hung: Vec<String> = all_machines(w).into_iter().step_by(2).collect();
            set_hung(w, &hung, true);
            w.run(2 * SECOND);
            let (_, leader) = w.busiest_partition();
            w.restart(leader, SECOND / 2);
            w.run(5 * SECOND);
            set_hung(w, &hung, false);
            let (_, leader) = w.busiest_partition();
            w.restart(leader, 8 * SECOND);
        },
        took_effect: |c, _| c.acquisitions > 16,
    },
    FaultCombination {
        name: "a cancellation, a lookup and a resubmission race with the end of the last task",
        first_seed: 0x9983_663e_d079_ae10,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = 2 * SECOND;
            submit(w, 90, 3, |_, _| {});
            w.run(7 * SECOND);
            for k in 0..10 {
                submit(w, k, 1, |_, s| s.tasks = 2);
                let id = job(k, 1).id;
                let tenths_of_second = 30 + 6 * u64::from(k);
                w.run(tenths_of_second * SECOND / 10);
                w.query_all_nodes(&id);
                w.cancel(k as usize % 3, &id);
                w.query_all_nodes(&id);
                for _ in 0..10 {
                    w.run(SECOND / 10);
                    w.query_all_nodes(&id);
                }
            }
        },
        took_effect: |c, r| r.cancellations > 8 && r.cancellations < 32 && c.answers > 500,
    },
    FaultCombination {
        name: "new machines get tasks at once while transactions are late, and the leader crashes",
        first_seed: 0x662f_d44b_65a1_d801,
        adjust_config: unchanged,
        inject: |w| {
            w.boot_time = SECOND / 2;
            w.fault_rates.late_txns = 40;
            w.run_time = 20 * SECOND;
            submit(w, 0, 8, |_, s| s.tasks = 6);
            let (_, leader) = w.busiest_partition();
            w.restart(leader, 3 * SECOND);
            w.run(3 * SECOND);
            let (_, leader) = w.busiest_partition();
            w.restart(leader, SECOND / 5);
            w.run(12 * SECOND);
        },
        took_effect: |c, _| c.late_committed > 3 && c.late_conflicts > 10 && c.acquisitions > 14,
    },
    FaultCombination {
        name: "the leader crashes while machines with long tasks are cut off or unreachable",
        first_seed: 0x4a4d_11b3_a689_36c9,
        adjust_config: unchanged,
        inject: |w| {
            let ids = start_long_jobs(w);
            let (partition, leader) = w.busiest_partition();
            let all = all_machines(w);
            for n in 0..NODES.len() {
                w.severed_links.extend(all.iter().take(2).map(|m| (n, m.clone())));
            }
            w.unreachable_machines.extend(all.iter().skip(2).take(2).cloned());
            w.cancel_until_confirmed(next_node(leader), &ids[0]);
            w.kill(leader);
            w.run(9 * SECOND);
            w.cancel_until_confirmed(next_node(leader), &ids[1]);
            w.run(3 * SECOND);
            w.start(leader);
            w.run(6 * SECOND);
            w.severed_links.clear();
            w.run(4 * SECOND);
            assert!(w.leader(&partition).is_some(), "{partition} has no leader");
        },
        took_effect: |c, r| c.lost_replies > 20 && c.acquisitions > 14 && r.cancellations >= 8,
    },
    FaultCombination {
        name: "commands and their answers are delayed for seconds, and hung machines resume",
        first_seed: 0x223d_0f5f_7cb5_0cb7,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = 15 * SECOND;
            submit(w, 90, 3, |_, _| {});
            w.run(5 * SECOND);
            w.fault_rates = FaultRates { late_calls: 45, ..FaultRates::default() };
            let ids = submit(w, 0, 6, |_, s| {
                s.priority = Priority::Urgent;
                s.due_s = Some(5.0);
            });
            let all = all_machines(w);
            set_hung(w, &all[..2], true);
            for id in &ids[..4] {
                w.run(SECOND);
                w.cancel_until_confirmed(1, id);
            }
            w.run(4 * SECOND);
            set_hung(w, &all, false);
            w.run(25 * SECOND);
        },
        took_effect: |c, r| c.delayed_executed + c.delayed_refused > 10 && r.cancellations >= 10,
    },
    FaultCombination {
        name: "jobs are cancelled while their start commands are delayed beyond `cancel_s`",
        first_seed: 0x0e5f_2824_bd94_0674,
        adjust_config: unchanged,
        inject: |w| cancel_while_commands_are_delayed(w, false),
        took_effect: |c, r| {
            c.delayed_commands > 20 && c.delayed_executed > 4 && r.cancellations >= 50
        },
    },
    FaultCombination {
        name: "jobs are cancelled while their start commands are delayed and the cloud is down",
        first_seed: 0x2d61_90c4_7be3_f158,
        adjust_config: unchanged,
        inject: |w| cancel_while_commands_are_delayed(w, true),
        took_effect: |c, r| {
            c.delayed_commands > 20 && c.delayed_refused > 0 && r.cancellations >= 50
        },
    },
    FaultCombination {
        name: "unanswered transactions are executed after newer ones",
        first_seed: 0xa1ac_8dd4_06fb_9b23,
        adjust_config: unchanged,
        inject: |w| {
            w.fault_rates.late_txns = 50;
            w.run_time = 3 * SECOND;
            for k in 0..8 {
                submit(w, k, 1, |_, _| {});
                w.run(2 * SECOND);
                let id = job(k, 1).id;
                w.query_all_nodes(&id);
                if k % 3 == 0 {
                    w.cancel_until_confirmed(k as usize % 3, &id);
                    w.query_all_nodes(&id);
                }
            }
            w.run(15 * SECOND);
        },
        took_effect: |c, r| c.late_committed > 5 && c.late_conflicts > 50 && r.cancellations >= 8,
    },
    FaultCombination {
        name: "transactions are committed and only their answers are lost, while users query jobs",
        first_seed: 0x8590_b46c_d37a_af48,
        adjust_config: unchanged,
        inject: |w| {
            w.fault_rates.unanswered_txns = 40;
            w.run_time = 2 * SECOND;
            for k in 0..10 {
                let mut spec = job(k, 3);
                spec.priority = Priority::Urgent;
                let n = k as usize % 3;
                w.submit(n, spec.clone());
                w.run(SECOND / 10);
                w.query_all_nodes(&spec.id);
                w.submit_until_accepted(next_node(n), &spec);
                w.run(SECOND);
                if k % 2 == 0 {
                    w.cancel(n, &spec.id);
                    w.run(SECOND / 10);
                    w.query_all_nodes(&spec.id);
                    w.cancel_until_confirmed(next_node(n), &spec.id);
                    w.query_all_nodes(&spec.id);
                }
                w.run(2 * SECOND);
            }
            w.run(5 * SECOND);
        },
        took_effect: |c, r| c.unanswered_txns > 40 && r.cancellations >= 10,
    },
    FaultCombination {
        name: "one-task jobs arrive at four per second, and a quarter of them are cancelled",
        first_seed: 0xba84_a19a_86f9_67e1,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = SECOND;
            for k in 0..160 {
                let spec = job(k, 1);
                w.submit(k as usize % 3, spec);
                w.run(SECOND / 4);
                if k >= 4 && k % 4 == 0 {
                    let id = job(k - 4, 1).id;
                    w.cancel(w.now as usize % 3, &id);
                    w.query_all_nodes(&id);
                }
                if k == 80 {
                    let (_, leader) = w.busiest_partition();
                    w.restart(leader, SECOND / 2);
                }
            }
        },
        took_effect: |c, r| c.answers > 400 && r.cancellations > 20,
    },
    FaultCombination {
        name: "partitions move and are handed back, all controllers crash, one is back within 1 s",
        first_seed: 0xeab9_14fc_9b6f_44c7,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = 6 * SECOND;
            let ids = submit(w, 0, 8, |_, _| {});
            w.restart(0, 8 * SECOND);
            w.run(5 * SECOND);
            w.cancel_until_confirmed(1, &ids[7]);
            for n in 0..NODES.len() {
                w.kill(n);
            }
            w.run(SECOND / 2);
            w.start(1);
            w.run(9 * SECOND);
            w.start(0);
            w.start(2);
            w.run(4 * SECOND);
        },
        took_effect: |c, _| c.acquisitions > 24,
    },
    FaultCombination {
        name: "a zone with workers and a controller is isolated for longer than a lease",
        first_seed: 0xbf2e_7067_f3d0_5c1c,
        adjust_config: long_leases,
        inject: |w| {
            let ids = start_long_jobs(w);
            let (_, leader) = w.busiest_partition();
            isolate_zone(w, leader);
            w.run(SECOND);
            for id in &ids[..2] {
                w.cancel_until_confirmed(next_node(leader), id);
            }
            w.run(20 * SECOND);
        },
        took_effect: |c, r| c.refused_one_node > 20 && c.expired_leases > 2 && r.cancellations >= 6,
    },
    FaultCombination {
        name: "jobs bound to one zone lose machines",
        first_seed: 0x7e57_a37a_be49_981d,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = 5 * SECOND;
            submit(w, 0, 6, |k, s| match k % 3 {
                0 => s.zone = Some("a".into()),
                1 => s.one_zone = true,
                _ => s.spread = true,
            });
            w.run(5 * SECOND);
            for round in 0..3 {
                let all = all_machines(w);
                set_hung(w, &all[..2.min(all.len())], true);
                if round == 1 {
                    let (_, leader) = w.busiest_partition();
                    w.restart(leader, 2 * SECOND);
                }
                w.run(14 * SECOND);
            }
        },
        took_effect: |c, _| c.acquisitions > 14,
    },
    FaultCombination {
        name: "old heartbeats reach every controller as a new leader starts",
        first_seed: 0x6b0e_7a2c_7083_f802,
        adjust_config: unchanged,
        inject: |w| {
            w.fault_rates = FaultRates {
                copies_for_next_leader: 40,
                heartbeat_copies: 15,
                ..FaultRates::default()
            };
            w.run_time = 20 * SECOND;
            let ids = submit(w, 0, 6, |_, _| {});
            for (k, id) in ids.iter().enumerate().take(3) {
                w.run(5 * SECOND);
                w.cancel_until_confirmed(next_node(k), id);
                let (_, leader) = w.busiest_partition();
                let downtime = if k == 1 { 9 * SECOND } else { SECOND / 2 };
                w.restart(leader, downtime);
            }
            w.run(10 * SECOND);
        },
        took_effect: |c, r| {
            c.copies_for_next_leader > 40 && c.heartbeat_copies > 100 && r.cancellations >= 8
        },
    },
    FaultCombination {
        name: "late copies of heartbeats come from earlier incarnations and attempts",
        first_seed: 0xd310_41a7_a852_ff68,
        adjust_config: unchanged,
        inject: |w| {
            w.fault_rates = FaultRates { heartbeat_copies: 40, ..FaultRates::default() };
            let ids = start_long_jobs(w);
            let all = all_machines(w);
            set_hung(w, &all[..2], true);
            w.cancel_until_confirmed(0, &ids[0]);
            w.run(14 * SECOND);
            set_hung(w, &all, false);
            w.run(8 * SECOND);
            w.unreachable_machines.extend(all.iter().take(3).cloned());
            w.cancel_until_confirmed(1, &ids[1]);
            w.run(14 * SECOND);
            w.unreachable_machines.clear();
            w.run(20 * SECOND);
        },
        took_effect: |c, r| {
            c.heartbeat_copies > 200 && c.expired_leases > 2 && r.cancellations >= 6
        },
    },
    FaultCombination {
        name: "there is more work than capacity, urgent and not, over slow links",
        first_seed: 0xec35_ab89_be7a_35b0,
        adjust_config: unchanged,
        inject: |w| {
            w.store_latency = SECOND;
            w.run_time = 3 * SECOND;
            w.fault_rates = FaultRates { lost_answers: 3, late_calls: 3, ..FaultRates::default() };
            submit(w, 0, 10, |k, s| {
                s.tasks = 8;
                s.priority = if k % 3 == 0 { Priority::Urgent } else { Priority::Standard };
            });
            w.run(20 * SECOND);
        },
        took_effect: |c, _| c.answers >= 40,
    },
    FaultCombination {
        name: "a team is at its quota, its cancelled tasks hang or are cut off, the leader changes",
        first_seed: 0xc035_1eb5_a2cb_af55,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = 15 * SECOND;
            let ids = submit(w, 0, 6, |_, s| {
                s.tasks = 2;
                s.team = "tight".into();
            });
            w.run(5 * SECOND);
            for round in 0..3_usize {
                let running: Vec<String> =
                    ids.iter().filter(|id| !w.machines_of(id).is_empty()).cloned().collect();
                let Some(id) = running.first() else { continue };
                let machines = w.machines_of(id);
                if round == 1 {
                    for n in 0..NODES.len() {
                        w.severed_links.extend(machines.iter().map(|m| (n, m.clone())));
                    }
                } else {
                    set_hung(w, &machines, true);
                }
                w.cancel_until_confirmed(round, id);
                let (_, leader) = w.busiest_partition();
                w.restart(leader, if round == 2 { SECOND / 5 } else { 8 * SECOND });
                w.run(4 * SECOND);
                w.severed_links.clear();
                set_hung(w, &machines, false);
                w.run(10 * SECOND);
            }
        },
        took_effect: |c, r| c.acquisitions > 16 && r.cancellations >= 8,
    },
    FaultCombination {
        name: "a team is at its quota as the leader changes, and no machine can be reached",
        first_seed: 0x5399_e23b_f9e8_98dc,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = 25 * SECOND;
            let ids = submit(w, 0, 4, |_, s| {
                s.tasks = 2;
                s.team = "tight".into();
            });
            w.run(5 * SECOND);
            let all = all_machines(w);
            let (_, leader) = w.busiest_partition();
            w.kill(leader);
            w.cloud_down = true;
            for n in 0..NODES.len() {
                w.severed_links.extend(all.iter().map(|m| (n, m.clone())));
            }
            w.run(6 * SECOND);
            let running: Vec<String> =
                ids.iter().filter(|id| !w.machines_of(id).is_empty()).cloned().collect();
            for id in &running {
                w.cancel_until_confirmed(next_node(leader), id);
            }
            w.start(leader);
            w.run(4 * SECOND);
            w.severed_links.clear();
            w.cloud_down = false;
        },
        took_effect: |c, r| c.acquisitions > 14 && r.cancellations >= 4,
    },
    FaultCombination {
        name: "claims are committed late, reads are answered slowly, partitions move and return",
        first_seed: 0x2c1e_77a0_94d3_5b8d,
        adjust_config: small_groups,
        inject: |w| {
            w.run_time = 60 * SECOND;
            w.fault_rates =
                FaultRates { late_txns: 60, slow_answers: 100, ..FaultRates::default() };
            w.cloud.max_machines = 40;
            submit(w, 0, 14, |_, s| s.tasks = 6);
            w.run(10 * SECOND);
            w.fault_rates = FaultRates { slow_answers: 50, ..FaultRates::default() };
            for n in 0..NODES.len() {
                w.paused.insert(n);
                w.run(9 * SECOND);
                w.paused.remove(&n);
                w.run(6 * SECOND);
            }
        },
        took_effect: |c, _| {
            c.late_committed > 4
                && c.late_conflicts > 20
                && c.slow_answers > 200
                && c.acquisitions > 24
        },
    },
    FaultCombination {
        name: "a leader reaches only workers and users, and its successor cancels jobs",
        first_seed: 0x68db_de1e_35b6_2e15,
        adjust_config: long_leases,
        inject: |w| {
            let ids = start_long_jobs(w);
            let (_, leader) = w.busiest_partition();
            w.refused_by_store.insert(leader);
            w.isolated_from_peers.insert(leader);
            for id in &ids[..3] {
                w.run(2 * SECOND);
                w.cancel_until_confirmed(next_node(leader), id);
                w.query_all_nodes(id);
            }
            w.run(20 * SECOND);
        },
        took_effect: |c, r| {
            c.refused_one_node > 30 && c.without_authority > 10 && r.cancellations >= 8
        },
    },
    FaultCombination {
        name: "leaders change ten times in two minutes, also during a store outage",
        first_seed: 0xa106_64e3_4c12_d748,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = 8 * SECOND;
            w.fault_rates = FaultRates {
                lost_answers: 2,
                late_calls: 2,
                heartbeat_copies: 10,
                ..FaultRates::default()
            };
            for k in 0..10_u32 {
                submit(w, 2 * k, 2, |_, s| s.tasks = 3);
                let id = job(2 * k, 1).id;
                if k == 4 || k == 7 {
                    w.store.outage = true;
                }
                let (_, leader) = w.busiest_partition();
                w.restart(leader, if k % 2 == 0 { SECOND / 2 } else { 7 * SECOND });
                if k == 4 || k == 7 {
                    run_outage(w, 4 * SECOND);
                }
                if k % 3 == 0 {
                    w.cancel_until_confirmed(next_node(leader), &id);
                }
                w.run_with_lookups(4 * SECOND);
            }
        },
        took_effect: |c, r| {
            c.acquisitions > 40 && c.refused_all_nodes > 20 && r.cancellations >= 10
        },
    },
    FaultCombination {
        name: "services are cancelled as the store refuses only their leader, then the store fails",
        first_seed: 0xfa95_def1_f930_1b28,
        adjust_config: long_leases,
        inject: |w| {
            let ids = start_services(w, "free");
            w.isolated_from_peers.extend(0..NODES.len());
            cancel_while_leader_refused(w, &ids, SECOND, |w, ids| {
                let machines = w.machines_of(&ids[0]);
                set_hung(w, &machines, true);
                w.run(9 * SECOND);
                set_hung(w, &machines, false);
            });
            clear_faults_and_cancel(w, &ids);
        },
        took_effect: |c, r| {
            c.refused_one_node > 4 && c.without_authority > 20 && r.cancellations >= 12
        },
    },
    FaultCombination {
        name: "services are cancelled during takeovers while old heartbeats arrive",
        first_seed: 0xbd4d_aa73_d93c_4023,
        adjust_config: unchanged,
        inject: |w| {
            let ids = start_services(w, "free");
            w.fault_rates = FaultRates {
                copies_for_next_leader: 30,
                heartbeat_copies: 15,
                ..FaultRates::default()
            };
            for (k, id) in ids.iter().enumerate().take(3) {
                w.run(2 * SECOND);
                let (_, leader) = w.busiest_partition();
                w.kill(leader);
                w.cancel_until_confirmed(next_node(leader), id);
                w.run(if k == 1 { 8 * SECOND } else { SECOND / 5 });
                w.start(leader);
                w.run(3 * SECOND);
            }
            clear_faults_and_cancel(w, &ids);
        },
        took_effect: |c, r| {
            c.copies_for_next_leader > 20 && c.acquisitions > 16 && r.cancellations >= 12
        },
    },
    FaultCombination {
        name: "services fill a team's quota, are cancelled on hung machines, the leader restarts",
        first_seed: 0x36ef_9cf9_371b_889c,
        adjust_config: unchanged,
        inject: |w| {
            let ids = start_services(w, "tight");
            for round in 0..2_usize {
                let running: Vec<String> =
                    ids.iter().filter(|id| !w.machines_of(id).is_empty()).cloned().collect();
                let Some(id) = running.first() else { continue };
                let machines = w.machines_of(id);
                set_hung(w, &machines, true);
                w.cancel_until_confirmed(round, id);
                let (_, leader) = w.busiest_partition();
                w.restart(leader, if round == 1 { SECOND / 5 } else { 8 * SECOND });
                w.run(6 * SECOND);
                set_hung(w, &machines, false);
                w.run(10 * SECOND);
            }
            clear_faults_and_cancel(w, &ids);
        },
        took_effect: |c, r| c.acquisitions > 16 && r.cancellations >= 12,
    },
    FaultCombination {
        name: "services are cancelled on unreachable and on silent machines",
        first_seed: 0x6d30_4979_3900_410e,
        adjust_config: unchanged,
        inject: |w| {
            let ids = start_services(w, "free");
            w.unreachable_machines.extend(w.machines_of(&ids[0]));
            w.cancel_until_confirmed(0, &ids[0]);
            w.run(15 * SECOND);
            w.unreachable_machines.clear();
            w.silent_machines.extend(w.machines_of(&ids[1]));
            w.cancel_until_confirmed(1, &ids[1]);
            w.run(15 * SECOND);
            clear_faults_and_cancel(w, &ids);
        },
        took_effect: |c, r| c.lost_replies > 10 && c.lost_heartbeats > 10 && r.cancellations >= 12,
    },
    FaultCombination {
        name: "users query all nodes at once after each acceptance, completion and cancellation",
        first_seed: 0xa287_3dba_9533_da50,
        adjust_config: unchanged,
        inject: |w| {
            w.run_time = 2 * SECOND;
            for k in 0..12_u32 {
                let spec = job(k, 2);
                let n = k as usize % 3;
                w.submit_until_accepted(n, &spec);
                w.query_all_nodes(&spec.id);
                if k % 3 == 0 {
                    w.cancel(next_node(n), &spec.id);
                }
                for step in 0..40 {
                    w.run(SECOND / 10);
                    w.query_all_nodes(&spec.id);
                    if k % 3 == 1 && step == 18 {
                        w.cancel_until_confirmed(next_node(n), &spec.id);
                    }
                }
            }
        },
        took_effect: |c, r| c.answers > 5_000 && r.cancellations >= 12,
    },
];

/// Injects a fault drawn at random. Some end by themselves, the others when faults are cleared.
pub fn inject_random_fault(w: &mut Simulation) {
    let machines = all_machines(w);
    let some: Vec<String> = machines.into_iter().filter(|_| w.chance(40)).collect();
    let node = w.random_below(NODES.len());
    match w.random_below(14) {
        0 => w.restart(node, SECOND / 5),
        1 => w.restart(node, 7 * SECOND),
        2 => run_outage(w, 6 * SECOND),
        3 => {
            w.store.outage = true;
            w.kill(node);
            w.run(SECOND);
            w.start(node);
            run_outage(w, 14 * SECOND);
        }
        4 => {
            w.refused_by_store.insert(node);
            if w.chance(50) {
                w.isolated_from_peers.insert(node);
            }
        }
        5 => {
            set_hung(w, &some, true);
        }
        6 => w.silent_machines.extend(some),
        7 => w.unreachable_machines.extend(some),
        8 => {
            for n in 0..NODES.len() {
                w.severed_links.extend(some.iter().map(|m| (n, m.clone())));
            }
        }
        9 => w.fault_rates.late_txns = 50,
        10 => w.fault_rates.unanswered_txns = 50,
        11 => {
            w.fault_rates =
                FaultRates { heartbeat_copies: 25, copies_for_next_leader: 25, ..w.fault_rates }
        }
        12 => w.store_latency = SECOND / 2,
        _ => w.cloud_down = true,
    }
}

/// Injects two to five faults of all kinds at a time, with jobs and cancellations between them.
#[test]
fn random_fault_mixes_break_no_rule() {
    let mut counts = Counts::default();
    for seed in 0..40 {
        let mut w = Simulation::with(
            50_000 + seed,
            NODES,
            if seed % 2 == 0 { unchanged } else { long_leases },
        );
        w.run(3 * SECOND);
        w.run_time = [4, 15, 40][seed as usize % 3] * SECOND;
        for round in 0..3 {
            for k in 0..4 {
                let mut spec = job(10 * round + k, 2 + k);
                if k == 3 {
                    spec.team = "tight".into();
                }
                spec.one_zone = k == 1;
                let n = w.random_below(NODES.len());
                w.submit(n, spec);
            }
            w.run(3 * SECOND);
            for _ in 0..2 + w.random_below(4) {
                inject_random_fault(&mut w);
                w.run(2 * SECOND);
                let accepted = w.rules.accepted_jobs();
                if !accepted.is_empty() && w.chance(60) {
                    let job = accepted[w.random_below(accepted.len())].clone();
                    for n in 0..NODES.len() {
                        w.cancel(n, &job);
                    }
                    w.query_all_nodes(&job);
                }
            }
            w.run_with_lookups(12 * SECOND);
            w.clear_faults();
            w.run_with_lookups(8 * SECOND);
        }
        recover_and_check(&mut w, &format!("mix {seed}"));
        add_counts(&mut counts, w.counts);
    }
    let Counts { acquisitions, refused_one_node, refused_all_nodes, late_committed, .. } = counts;
    let Counts {
        unanswered_txns,
        copies_for_next_leader,
        lost_heartbeats,
        lost_replies,
        expired_leases,
        ..
    } = counts;
    for (event, count, min) in [
        ("acquisitions", acquisitions, 100),
        ("refused_one_node", refused_one_node, 100),
        ("refused_all_nodes", refused_all_nodes, 100),
        ("late_committed", late_committed, 5),
        ("unanswered_txns", unanswered_txns, 20),
        ("copies_for_next_leader", copies_for_next_leader, 50),
        ("lost_heartbeats", lost_heartbeats, 50),
        ("lost_replies", lost_replies, 50),
        ("expired_leases", expired_leases, 20),
    ] {
        assert!(count >= min, "{count} {event}, fewer than {min}: {counts:?}");
    }
}

#[test]
fn no_combination_of_faults_breaks_a_rule() {
    run_all(FAULT_COMBINATIONS);
}
