//! The core's thread: the one owner of all state.
//!
//! Owns the core, and with it every decision. Takes commands in batches and hands out effects. Never
//! waits for anything but commands: whatever may take long is left to an executor.

use std::io;
use std::time::Duration;

use quartzlever_core::{Command, Core, Effect};
use quartzlever_wire::Micros;

use super::executors::Executors;
use super::pending::PendingReplies;
use crate::clock::{Clock, wall};
use crate::exit_status::UNKNOWN_VERSION;
use crate::inbox::{InboxReceiver, Item, Reply, Waiter};
use crate::log::{ProgramEvent, log_event};
use crate::responder::Status;
use crate::server::Port;

const TICK: Micros = 200_000;
/// A loop that took longer than this did not listen meanwhile.
const STALLED: Micros = 1_000_000;
/// The log is told of longer ones: shorter ones come with a processor that is short.
const STALL_LOGGED: Micros = 4_000_000;
/// As long, and some of those who ask may have given up.
const LATE: Micros = 400_000;
/// Users and workers are served once the store has been read, or else after this time, to
/// be told when to come back.
const OPEN_AFTER: Micros = 5_000_000;
/// How long the core's word that the node can take requests counts.
const READY_FOR: Micros = 2_000_000;
/// The largest batch of the first queue before users get their turn.
const PRIORITY_BATCH: usize = 64;
const QUESTION_BATCH: usize = 64;
const SUBMISSION_BATCH: usize = 16;

/// The core with its queues and executors. It runs on the process's first thread, and as long as that.
pub struct CoreThread {
    core: Core,
    incoming: InboxReceiver,
    executors: Executors,
    pending: PendingReplies,
    clock: Clock,
    /// Opened once the store has been read; none if it is open.
    port: Option<Port>,
    /// When the port is opened at the latest.
    open_at: Micros,
    /// When the next tick is due.
    tick_at: Micros,
    /// When commands were last taken.
    last_taken: Micros,
    /// Since the last tick commands had to wait.
    behind: bool,
}

impl CoreThread {
    /// A core that has taken no command yet. A port that is handed over is opened once the store
    /// has been read.
    pub fn new(
        core: Core,
        incoming: InboxReceiver,
        executors: Executors,
        port: Option<Port>,
        clock: Clock,
    ) -> CoreThread {
        let now = clock.now();
        CoreThread {
            core,
            incoming,
            executors,
            pending: PendingReplies::default(),
            clock,
            port,
            open_at: now + OPEN_AFTER,
            tick_at: now,
            last_taken: now,
            behind: false,
        }
    }

    /// Works until the process is ended.
    pub fn run(mut self) -> io::Result<()> {
        loop {
            self.await_commands();
            let now = self.clock.now();
            let mut batch = self.take_commands(now);
            self.pending.give_up(now);
            self.note_stall(now);
            self.last_taken = now;
            if now >= self.tick_at {
                self.tick_at = now + TICK;
                let behind = std::mem::take(&mut self.behind);
                batch.push(Command::Tick { wall: wall(), behind });
            }
            if batch.is_empty() {
                continue;
            }
            for effect in self.core.step(now, batch) {
                self.carry_out(effect);
            }
            self.publish(now);
            self.open_port(now)?;
        }
    }

    /// Sleeps until a command comes or the tick is due.
    fn await_commands(&self) {
        let now = self.clock.now();
        if now < self.tick_at {
            // Whatever else comes brings the tick with it: woken for itself alone it costs more
            // than it does, so it comes later if nothing is due.
            let delay = if self.core.awaits_time() { 0 } else { TICK };
            self.incoming.sleep(Duration::from_micros(self.tick_at + delay - now));
        }
    }

    fn take_commands(&mut self, now: Micros) -> Vec<Command> {
        let CoreThread { incoming, pending, last_taken, .. } = self;
        let late = now - *last_taken > LATE || incoming.priority.len() > PRIORITY_BATCH;
        let priority = incoming.priority.try_iter().take(PRIORITY_BATCH);
        let questions = incoming.questions.try_iter().take(QUESTION_BATCH);
        let submissions = incoming.submissions.try_iter().take(SUBMISSION_BATCH);
        let items = priority.chain(questions).chain(submissions);
        items.filter_map(|item| take_command(item, now, late, pending)).collect()
    }

    fn note_stall(&mut self, now: Micros) {
        let stall = now - self.last_taken;
        if stall > STALL_LOGGED {
            ProgramEvent::ProcessStalled { duration: Duration::from_micros(stall) }.log();
        }
        self.behind |= stall > STALLED || self.incoming.priority.len() > PRIORITY_BATCH;
    }

    /// Tells connections what they may answer without the core.
    fn publish(&mut self, now: Micros) {
        let ready_until = if self.core.is_ready() { now + READY_FOR } else { 0 };
        let rejected = self.incoming.publish(self.core.starting(), ready_until);
        self.core.count_rejected(rejected);
    }

    fn open_port(&mut self, now: Micros) -> io::Result<()> {
        if (!self.core.starting() || now >= self.open_at)
            && let Some(port) = self.port.take()
        {
            port.open()?;
        }
        Ok(())
    }

    fn carry_out(&mut self, effect: Effect) {
        let CoreThread { executors, pending, clock, .. } = self;
        match effect {
            Effect::Answer { id, status, body, retry_after_s, until } => {
                if until.is_some_and(|until| clock.now() >= until) {
                    // The right to act has run out on the way here.
                    pending.refuse_busy(id);
                } else {
                    pending.answer(id, &Status { status, retry_after_s }, &body);
                }
            }
            Effect::Terminate { reason } => {
                ProgramEvent::ProcessEnded { reason: &reason }.log();
                std::process::exit(i32::from(UNKNOWN_VERSION));
            }
            Effect::AnswerPeer { id, answer } => pending.answer_peer(id, answer),
            Effect::Store { call_id, call_priority, call } => {
                executors.store.submit(call_id, call_priority, call)
            }
            Effect::Cloud { call_id, call, until } => executors.cloud.submit(call_id, call, until),
            Effect::Worker { call_id, address, call, until } => {
                executors.workers.submit(call_id, address, call, until);
            }
            Effect::Peer { call_id, node, request } => {
                executors.peers.submit(call_id, node, request)
            }
            Effect::RateShare(share) => executors.set_share(share),
            Effect::Log(event) => log_event(event.level(), event.name(), &event),
        }
    }
}

/// The command of an item; none if its asker has given up: what would be done for it comes too late.
fn take_command(
    item: Item,
    now: Micros,
    late: bool,
    pending: &mut PendingReplies,
) -> Option<Command> {
    let Item { command, waiter } = item;
    let Some(Waiter { id, reply }) = waiter else { return Some(command) };
    if let Reply::Http { responder, .. } = &reply {
        responder.mark_taken();
    }
    match reply {
        Reply::Http { responder, until } if until <= now => {
            pending.send_busy(responder);
            None
        }
        Reply::Http { responder, .. } if late && responder.is_given_up() => None,
        reply => {
            pending.insert(id, reply);
            Some(command)
        }
    }
}
