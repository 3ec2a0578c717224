//! Combinations of faults: each row brings one about, shows that it did, and must break no rule.
//! `docs/fault-combinations.md` says where in the code each is decided.

use quartzlever_wire::SECOND;
use quartzlever_wire::users::Priority;

use crate::combination::*;
use crate::sim::{Counts, FaultRates, Simulation, job};

const FAULT_COMBINATIONS: &[FaultCombination] = &[
    FaultCombination {
        name: "the holder is refused alone, others confirm cancellations, the store goes",
        tune: long_holds,
        bring_about: |w| refused_alone_then_all(w, SECOND, |_, _| {}),
        came: |c, j| {
            c.refused_one_node > 10
                && c.without_authority > 50
                && c.expired_leases > 4
                && j.cancellations >= 12
        },
    },
    FaultCombination {
        name: "so it is, while peers do not reach each other and machines hang and go on",
        tune: long_holds,
        bring_about: |w| {
            w.isolated_from_peers.extend(0..NODES.len());
            refused_alone_then_all(w, SECOND / 10, |w, ids| {
                let machines = w.machines_of(&ids[0]);
                hang(w, &machines, true);
                w.run(9 * SECOND);
                hang(w, &machines, false);
            });
        },
        came: |c, j| {
            c.refused_one_node > 4
                && c.without_authority > 50
                && c.expired_leases > 4
                && j.cancellations >= 12
        },
    },
    FaultCombination {
        name: "jobs are cancelled as the holder is refused; a second later the store is away, slow after",
        tune: usual,
        bring_about: |w| {
            w.store_latency = SECOND / 2;
            refused_alone_then_all(w, 0, |_, _| {});
            w.run(5 * SECOND);
        },
        came: |c, j| c.refused_one_node > 5 && c.refused_all_nodes > 20 && j.cancellations >= 4,
    },
    FaultCombination {
        name: "the store is back, and the old holder finds lost tasks of cancelled jobs",
        tune: |config| {
            // The view is within its bound when the store is back, the lease had run out.
            config.operator.lease_life = 20 * SECOND;
            config.workers.cancel = 60 * SECOND;
        },
        bring_about: |w| {
            let ids = long_tasks(w);
            let (_, leader) = w.busiest_partition();
            w.isolated_from_peers.extend(0..NODES.len());
            w.refused_by_store.insert(leader);
            w.run(2 * SECOND);
            for id in &ids[..3] {
                w.cancel_until_confirmed(other(leader), id);
            }
            w.store.outage = true;
            w.run(14 * SECOND);
            let all = all_machines(w);
            hang(w, &all, true);
            w.cloud_down = true;
            w.run(16 * SECOND);
            hang(w, &all, false);
            (w.cloud_down, w.watch_latency) = (false, 3 * SECOND);
            let now = w.now;
            w.store.end_outage(now);
            w.run(2 * SECOND);
            w.refused_by_store.clear();
            w.run(5 * SECOND);
        },
        came: |c, j| {
            c.refused_one_node > 20
                && c.expired_leases > 3
                && j.cancellations >= 8
                && j.starts_after_cancel == 0
        },
    },
    FaultCombination {
        name: "workers reach no controller while direct commands reach them",
        tune: usual,
        bring_about: |w| {
            let ids = long_tasks(w);
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
        came: |c, j| c.lost_heartbeats > 50 && j.cancellations >= 6,
    },
    FaultCombination {
        name: "jobs are cancelled in the seconds in which work changes hands",
        tune: usual,
        bring_about: |w| {
            let ids = long_tasks(w);
            let (_, leader) = w.busiest_partition();
            w.kill(leader);
            for id in &ids {
                w.run(3 * SECOND / 2);
                w.cancel_until_confirmed(other(leader), id);
            }
            w.start(leader);
            w.run(4 * SECOND);
        },
        came: |c, j| c.acquisitions > 12 && j.cancellations >= 12,
    },
    FaultCombination {
        name: "all controllers are away for longer than a lease",
        tune: usual,
        bring_about: |w| {
            let ids = long_tasks(w);
            for n in 0..NODES.len() {
                w.kill(n);
            }
            w.run(16 * SECOND);
            for n in 0..NODES.len() {
                w.start(n);
            }
            w.cancel_until_confirmed(0, &ids[0]);
        },
        came: |c, _| c.expired_leases > 4,
    },
    FaultCombination {
        name: "jobs of two or three tasks end far apart across a change of holder",
        tune: usual,
        bring_about: |w| {
            w.run_time = 4 * SECOND;
            submit(w, 0, 6, |k, s| s.tasks = 2 + k % 2);
            w.run(4 * SECOND);
            let late: Vec<String> = all_machines(w).into_iter().step_by(2).collect();
            hang(w, &late, true);
            w.run(2 * SECOND);
            let (_, leader) = w.busiest_partition();
            w.restart(leader, SECOND / 2);
            w.run(5 * SECOND);
            hang(w, &late, false);
            let (_, leader) = w.busiest_partition();
            w.restart(leader, 8 * SECOND);
        },
        came: |c, _| c.acquisitions > 16,
    },
    FaultCombination {
        name: "a cancellation, a question and a repeated submission meet the end of the last task",
        tune: usual,
        bring_about: |w| {
            w.run_time = 2 * SECOND;
            submit(w, 90, 3, |_, _| {});
            w.run(7 * SECOND);
            for k in 0..10 {
                submit(w, k, 1, |_, s| s.tasks = 2);
                let id = job(k, 1).id;
                let tenths = 30 + 6 * u64::from(k);
                w.run(tenths * SECOND / 10);
                w.query_all_nodes(&id);
                w.cancel(k as usize % 3, &id);
                w.query_all_nodes(&id);
                for _ in 0..10 {
                    w.run(SECOND / 10);
                    w.query_all_nodes(&id);
                }
            }
        },
        came: |c, j| j.cancellations > 8 && j.cancellations < 32 && c.answers > 500,
    },
    FaultCombination {
        name: "new machines get work at once while writes lag, and the holder ends",
        tune: usual,
        bring_about: |w| {
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
        came: |c, _| c.late_committed > 3 && c.late_conflicts > 10 && c.acquisitions > 14,
    },
    FaultCombination {
        name: "the holder ends while machines with long tasks cannot be reached, or hear nothing",
        tune: usual,
        bring_about: |w| {
            let ids = long_tasks(w);
            let (partition, leader) = w.busiest_partition();
            let all = all_machines(w);
            for n in 0..NODES.len() {
                w.severed_links.extend(all.iter().take(2).map(|m| (n, m.clone())));
            }
            w.unreachable_machines.extend(all.iter().skip(2).take(2).cloned());
            w.cancel_until_confirmed(other(leader), &ids[0]);
            w.kill(leader);
            w.run(9 * SECOND);
            w.cancel_until_confirmed(other(leader), &ids[1]);
            w.run(3 * SECOND);
            w.start(leader);
            w.run(6 * SECOND);
            w.severed_links.clear();
            w.run(4 * SECOND);
            assert!(w.leader(&partition).is_some(), "somebody has taken over");
        },
        came: |c, j| c.lost_replies > 20 && c.acquisitions > 14 && j.cancellations >= 8,
    },
    FaultCombination {
        name: "commands and their answers are held up for seconds, and machines go on",
        tune: usual,
        bring_about: |w| {
            w.run_time = 15 * SECOND;
            submit(w, 90, 3, |_, _| {});
            w.run(5 * SECOND);
            w.fault_rates = FaultRates { late_calls: 45, ..FaultRates::default() };
            let ids = submit(w, 0, 6, |_, s| {
                s.priority = Priority::Urgent;
                s.due_s = Some(5.0);
            });
            let all = all_machines(w);
            hang(w, &all[..2], true);
            for id in &ids[..4] {
                w.run(SECOND);
                w.cancel_until_confirmed(1, id);
            }
            w.run(4 * SECOND);
            hang(w, &all, false);
            w.run(25 * SECOND);
        },
        came: |c, j| c.delayed_executed + c.delayed_refused > 10 && j.cancellations >= 10,
    },
    FaultCombination {
        name: "jobs are cancelled while the commands that start them are held up beyond `cancel_s`",
        tune: usual,
        bring_about: |w| {
            w.run_time = 40 * SECOND;
            submit(w, 90, 3, |_, _| {});
            w.run(6 * SECOND);
            w.command_delay = 24 * SECOND;
            for k in 0..14 {
                submit(w, k, 1, |_, s| {
                    s.priority = Priority::Urgent;
                    s.due_s = Some(3.2);
                });
                w.cancel_until_confirmed(k as usize % 3, &job(k, 1).id);
            }
            w.run(26 * SECOND);
        },
        came: |c, j| c.delayed_commands > 20 && c.delayed_executed > 4 && j.cancellations >= 50,
    },
    FaultCombination {
        name: "transactions without an answer are carried out after newer ones",
        tune: usual,
        bring_about: |w| {
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
        came: |c, j| c.late_committed > 5 && c.late_conflicts > 50 && j.cancellations >= 8,
    },
    FaultCombination {
        name: "transactions are carried out and only their answers lost, while others read",
        tune: usual,
        bring_about: |w| {
            w.fault_rates.unanswered_txns = 40;
            w.run_time = 2 * SECOND;
            for k in 0..10 {
                let mut spec = job(k, 3);
                spec.priority = Priority::Urgent;
                let n = k as usize % 3;
                w.submit(n, spec.clone());
                w.run(SECOND / 10);
                w.query_all_nodes(&spec.id);
                w.submit_until_accepted(other(n), &spec);
                w.run(SECOND);
                if k % 2 == 0 {
                    w.cancel(n, &spec.id);
                    w.run(SECOND / 10);
                    w.query_all_nodes(&spec.id);
                    w.cancel_until_confirmed(other(n), &spec.id);
                    w.query_all_nodes(&spec.id);
                }
                w.run(2 * SECOND);
            }
            w.run(5 * SECOND);
        },
        came: |c, j| c.unanswered_txns > 40 && j.cancellations >= 10,
    },
    FaultCombination {
        name: "one-task jobs come four a second, a quarter of them cancelled",
        tune: usual,
        bring_about: |w| {
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
        came: |c, j| c.answers > 400 && j.cancellations > 20,
    },
    FaultCombination {
        name: "controllers hand over and back, all end, and one returns within a second",
        tune: usual,
        bring_about: |w| {
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
        came: |c, _| c.acquisitions > 24,
    },
    FaultCombination {
        name: "a zone with workers and a controller is cut off for longer than a lease",
        tune: long_holds,
        bring_about: |w| {
            let ids = long_tasks(w);
            let (_, leader) = w.busiest_partition();
            cut_zone(w, leader);
            w.run(SECOND);
            for id in &ids[..2] {
                w.cancel_until_confirmed(other(leader), id);
            }
            w.run(20 * SECOND);
        },
        came: |c, j| c.refused_one_node > 20 && c.expired_leases > 2 && j.cancellations >= 6,
    },
    FaultCombination {
        name: "jobs bound to one zone lose machines",
        tune: usual,
        bring_about: |w| {
            w.run_time = 5 * SECOND;
            submit(w, 0, 6, |k, s| match k % 3 {
                0 => s.zone = Some("a".into()),
                1 => s.one_zone = true,
                _ => s.spread = true,
            });
            w.run(5 * SECOND);
            for round in 0..3 {
                let all = all_machines(w);
                hang(w, &all[..2.min(all.len())], true);
                if round == 1 {
                    let (_, leader) = w.busiest_partition();
                    w.restart(leader, 2 * SECOND);
                }
                w.run(14 * SECOND);
            }
        },
        came: |c, _| c.acquisitions > 14,
    },
    FaultCombination {
        name: "old reports reach every controller as a new holder begins",
        tune: usual,
        bring_about: |w| {
            w.fault_rates = FaultRates {
                copies_for_next_leader: 40,
                heartbeat_copies: 15,
                ..FaultRates::default()
            };
            w.run_time = 20 * SECOND;
            let ids = submit(w, 0, 6, |_, _| {});
            for (k, id) in ids.iter().enumerate().take(3) {
                w.run(5 * SECOND);
                w.cancel_until_confirmed(other(k), id);
                let (_, leader) = w.busiest_partition();
                let away = if k == 1 { 9 * SECOND } else { SECOND / 2 };
                w.restart(leader, away);
            }
            w.run(10 * SECOND);
        },
        came: |c, j| {
            c.copies_for_next_leader > 40 && c.heartbeat_copies > 100 && j.cancellations >= 8
        },
    },
    FaultCombination {
        name: "late copies of reports come from earlier sessions and attempts",
        tune: usual,
        bring_about: |w| {
            w.fault_rates = FaultRates { heartbeat_copies: 40, ..FaultRates::default() };
            let ids = long_tasks(w);
            let all = all_machines(w);
            hang(w, &all[..2], true);
            w.cancel_until_confirmed(0, &ids[0]);
            w.run(14 * SECOND);
            hang(w, &all, false);
            w.run(8 * SECOND);
            w.unreachable_machines.extend(all.iter().take(3).cloned());
            w.cancel_until_confirmed(1, &ids[1]);
            w.run(14 * SECOND);
            w.unreachable_machines.clear();
            w.run(20 * SECOND);
        },
        came: |c, j| c.heartbeat_copies > 200 && c.expired_leases > 2 && j.cancellations >= 6,
    },
    FaultCombination {
        name: "there is more work than room, urgent and not, over slow links",
        tune: usual,
        bring_about: |w| {
            w.store_latency = SECOND;
            w.run_time = 3 * SECOND;
            w.fault_rates = FaultRates { lost_answers: 3, late_calls: 3, ..FaultRates::default() };
            submit(w, 0, 10, |k, s| {
                s.tasks = 8;
                s.priority = if k % 3 == 0 { Priority::Urgent } else { Priority::Standard };
            });
            w.run(20 * SECOND);
        },
        came: |c, _| c.answers >= 40,
    },
    FaultCombination {
        name: "a team is at its limit, its cancelled tasks hang or are cut off, and the holder changes",
        tune: usual,
        bring_about: |w| {
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
                    hang(w, &machines, true);
                }
                w.cancel_until_confirmed(round, id);
                let (_, leader) = w.busiest_partition();
                w.restart(leader, if round == 2 { SECOND / 5 } else { 8 * SECOND });
                w.run(4 * SECOND);
                w.severed_links.clear();
                hang(w, &machines, false);
                w.run(10 * SECOND);
            }
        },
        came: |c, j| c.acquisitions > 16 && j.cancellations >= 8,
    },
    FaultCombination {
        name: "a team is at its limit as the holder changes, and machines cannot be asked",
        tune: usual,
        bring_about: |w| {
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
                w.cancel_until_confirmed(other(leader), id);
            }
            w.start(leader);
            w.run(4 * SECOND);
            w.severed_links.clear();
            w.cloud_down = false;
        },
        came: |c, j| c.acquisitions > 14 && j.cancellations >= 4,
    },
    FaultCombination {
        name: "a holder has only its workers and users left, and jobs end through the new one",
        tune: long_holds,
        bring_about: |w| {
            let ids = long_tasks(w);
            let (_, leader) = w.busiest_partition();
            w.refused_by_store.insert(leader);
            w.isolated_from_peers.insert(leader);
            for id in &ids[..3] {
                w.run(2 * SECOND);
                w.cancel_until_confirmed(other(leader), id);
                w.query_all_nodes(id);
            }
            w.run(20 * SECOND);
        },
        came: |c, j| c.refused_one_node > 30 && c.without_authority > 10 && j.cancellations >= 8,
    },
    FaultCombination {
        name: "holders change ten times in two minutes, also inside an outage",
        tune: usual,
        bring_about: |w| {
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
                    outage(w, 4 * SECOND);
                }
                if k % 3 == 0 {
                    w.cancel_until_confirmed(other(leader), &id);
                }
                w.run_with_lookups(4 * SECOND);
            }
        },
        came: |c, j| c.acquisitions > 40 && c.refused_all_nodes > 20 && j.cancellations >= 10,
    },
    FaultCombination {
        name: "services are cancelled as their holder is refused alone, then the store goes",
        tune: long_holds,
        bring_about: |w| {
            let ids = services(w, "free");
            w.isolated_from_peers.extend(0..NODES.len());
            cancelled_in_refusal(w, &ids, SECOND, |w, ids| {
                let machines = w.machines_of(&ids[0]);
                hang(w, &machines, true);
                w.run(9 * SECOND);
                hang(w, &machines, false);
            });
            retire(w, &ids);
        },
        came: |c, j| c.refused_one_node > 4 && c.without_authority > 20 && j.cancellations >= 12,
    },
    FaultCombination {
        name: "services are cancelled while their work changes hands and old reports come back",
        tune: usual,
        bring_about: |w| {
            let ids = services(w, "free");
            w.fault_rates = FaultRates {
                copies_for_next_leader: 30,
                heartbeat_copies: 15,
                ..FaultRates::default()
            };
            for (k, id) in ids.iter().enumerate().take(3) {
                w.run(2 * SECOND);
                let (_, leader) = w.busiest_partition();
                w.kill(leader);
                w.cancel_until_confirmed(other(leader), id);
                w.run(if k == 1 { 8 * SECOND } else { SECOND / 5 });
                w.start(leader);
                w.run(3 * SECOND);
            }
            retire(w, &ids);
        },
        came: |c, j| c.copies_for_next_leader > 20 && c.acquisitions > 16 && j.cancellations >= 12,
    },
    FaultCombination {
        name: "services fill a team's limit, are cancelled on machines that hang, and the holder ends",
        tune: usual,
        bring_about: |w| {
            let ids = services(w, "tight");
            for round in 0..2_usize {
                let running: Vec<String> =
                    ids.iter().filter(|id| !w.machines_of(id).is_empty()).cloned().collect();
                let Some(id) = running.first() else { continue };
                let machines = w.machines_of(id);
                hang(w, &machines, true);
                w.cancel_until_confirmed(round, id);
                let (_, leader) = w.busiest_partition();
                w.restart(leader, if round == 1 { SECOND / 5 } else { 8 * SECOND });
                w.run(6 * SECOND);
                hang(w, &machines, false);
                w.run(10 * SECOND);
            }
            retire(w, &ids);
        },
        came: |c, j| c.acquisitions > 16 && j.cancellations >= 12,
    },
    FaultCombination {
        name: "services are cancelled on machines that hear nothing, or reach nobody",
        tune: usual,
        bring_about: |w| {
            let ids = services(w, "free");
            w.unreachable_machines.extend(w.machines_of(&ids[0]));
            w.cancel_until_confirmed(0, &ids[0]);
            w.run(15 * SECOND);
            w.unreachable_machines.clear();
            w.silent_machines.extend(w.machines_of(&ids[1]));
            w.cancel_until_confirmed(1, &ids[1]);
            w.run(15 * SECOND);
            retire(w, &ids);
        },
        came: |c, j| c.lost_replies > 10 && c.lost_heartbeats > 10 && j.cancellations >= 12,
    },
    FaultCombination {
        name: "users ask at all nodes at once after each acceptance, end and cancellation",
        tune: usual,
        bring_about: |w| {
            w.run_time = 2 * SECOND;
            for k in 0..12_u32 {
                let spec = job(k, 2);
                let n = k as usize % 3;
                w.submit_until_accepted(n, &spec);
                w.query_all_nodes(&spec.id);
                if k % 3 == 0 {
                    w.cancel(other(n), &spec.id);
                }
                for step in 0..40 {
                    w.run(SECOND / 10);
                    w.query_all_nodes(&spec.id);
                    if k % 3 == 1 && step == 18 {
                        w.cancel_until_confirmed(other(n), &spec.id);
                    }
                }
            }
        },
        came: |c, j| c.answers > 5_000 && j.cancellations >= 12,
    },
];

/// One trouble, drawn at random; some end by themselves, others with the world's calm.
pub fn any_trouble(w: &mut Simulation) {
    let machines = all_machines(w);
    let some: Vec<String> = machines.into_iter().filter(|_| w.chance(40)).collect();
    let node = w.random_below(NODES.len());
    match w.random_below(14) {
        0 => w.restart(node, SECOND / 5),
        1 => w.restart(node, 7 * SECOND),
        2 => outage(w, 6 * SECOND),
        3 => {
            w.store.outage = true;
            w.kill(node);
            w.run(SECOND);
            w.start(node);
            outage(w, 14 * SECOND);
        }
        4 => {
            w.refused_by_store.insert(node);
            if w.chance(50) {
                w.isolated_from_peers.insert(node);
            }
        }
        5 => {
            hang(w, &some, true);
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

/// Troubles of all kinds, two to five at a time, with jobs and cancellations between them.
#[test]
fn no_mix_of_troubles_breaks_a_rule() {
    let mut counts = Counts::default();
    for seed in 0..40 {
        let mut w =
            Simulation::with(50_000 + seed, NODES, if seed % 2 == 0 { usual } else { long_holds });
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
                any_trouble(&mut w);
                w.run(2 * SECOND);
                let accepted = w.rules.accepted();
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
        mark_healthy(&mut w, &format!("mix {seed}"));
        add(&mut counts, w.counts);
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
    for (what, count, least) in [
        ("holders", acquisitions, 100),
        ("refused_alone", refused_one_node, 100),
        ("refused_all", refused_all_nodes, 100),
        ("late_in_force", late_committed, 5),
        ("unanswered", unanswered_txns, 20),
        ("copies_for_next", copies_for_next_leader, 50),
        ("mute", lost_heartbeats, 50),
        ("deaf", lost_replies, 50),
        ("leases_lost", expired_leases, 20),
    ] {
        assert!(count >= least, "{what}: {counts:?}");
    }
}

#[test]
fn no_combination_of_faults_breaks_a_rule() {
    play_all(FAULT_COMBINATIONS);
}
