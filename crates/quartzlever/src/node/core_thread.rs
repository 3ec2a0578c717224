//! The core's thread, the only owner of the scheduling state.
//!
//! It passes commands to the core in batches and executes the resulting effects. It never blocks
//! except to wait for commands: anything that may take long is left to an executor.

use std::io;
use std::time::Duration;

use quartzlever_core::{Command, Core, Effect};
use quartzlever_wire::Micros;

use super::executors::Executors;
use super::pending::PendingReplies;
use crate::clock::{Clock, wall};
use crate::exit_status::UNSUPPORTED_VERSION;
use crate::inbox::{InboxReceiver, QueuedCommand, ReplyChannel, Requester};
use crate::log::{ProgramEvent, log_event};
use crate::responder::ResponseHead;
use crate::server::Port;

const TICK_INTERVAL: Micros = 200_000;
/// An iteration of the loop that took longer than this is a stall: no commands were received
/// meanwhile.
const STALL_THRESHOLD: Micros = 1_000_000;
/// Stalls longer than this are logged; shorter ones are normal where CPU time is scarce.
const LOGGED_STALL_THRESHOLD: Micros = 4_000_000;
/// After an iteration longer than this, some clients may have timed out. HTTP requests whose
/// clients have closed the connection are then dropped, as they are when the priority queue holds
/// more than [`PRIORITY_BATCH`] commands.
const LATE_THRESHOLD: Micros = 400_000;
/// The port is opened once the store has been read, or else after this time, so that users and
/// workers are told when to retry.
const MAX_OPEN_DELAY: Micros = 5_000_000;
/// How long the node counts as ready after the core was last found ready.
const READY_LIFETIME: Micros = 2_000_000;
/// Maximum number of commands taken from the priority queue at a time. With more queued, this
/// thread counts as late and as stalled.
const PRIORITY_BATCH: usize = 64;
/// Maximum number of commands taken from the queue of lookups at a time.
const LOOKUP_BATCH: usize = 64;
/// Maximum number of commands taken from the queue of submissions at a time.
const SUBMISSION_BATCH: usize = 16;

/// The core with its queues and executors. It runs on the main thread, for as long as the process
/// lives.
pub struct CoreThread {
    core: Core,
    incoming: InboxReceiver,
    executors: Executors,
    pending: PendingReplies,
    clock: Clock,
    /// The bound port, opened once the store has been read; `None` if it is already open.
    port: Option<Port>,
    /// The time at which the port is opened at the latest.
    open_at: Micros,
    /// The time at which the next tick is due.
    tick_at: Micros,
    /// The time at which commands were last taken from the queues.
    last_batch_at: Micros,
    /// Commands have had to wait since the last tick.
    was_stalled: bool,
}

impl CoreThread {
    /// Creates the loop for a core that has processed no command yet. A port that is passed in is
    /// opened once the store has been read.
    pub fn new(
        core: Core,
        incoming: InboxReceiver,
        executors: Executors,
        port: Option<Port>,
        clock: Clock,
    ) -> CoreThread {
        let now = clock.now();
        incoming.step_watch().observe(core.work().clone());
        CoreThread {
            core,
            incoming,
            executors,
            pending: PendingReplies::default(),
            clock,
            port,
            open_at: now + MAX_OPEN_DELAY,
            tick_at: now,
            last_batch_at: now,
            was_stalled: false,
        }
    }

    /// Processes commands until the process is ended. Returns only with an error.
    pub fn run(mut self) -> io::Result<()> {
        loop {
            self.await_commands();
            let now = self.clock.now();
            let mut batch = self.take_commands(now);
            self.pending.expire(now);
            self.detect_stall(now);
            self.last_batch_at = now;
            if now >= self.tick_at {
                self.tick_at = now + TICK_INTERVAL;
                let was_stalled = std::mem::take(&mut self.was_stalled);
                batch.push(Command::Tick { wall: wall(), was_stalled });
            }
            if batch.is_empty() {
                continue;
            }
            self.incoming.step_watch().begin(now);
            let effects = self.core.step(now, batch);
            self.incoming.step_watch().end(self.clock.now());
            for effect in effects {
                self.execute(effect);
            }
            self.publish(now);
            self.open_port(now)?;
        }
    }

    /// Sleeps until a command arrives. Without one, sleeps until the tick is due if a placement is
    /// pending, and one interval longer otherwise. Returns at once if the tick is due already.
    fn await_commands(&self) {
        let now = self.clock.now();
        if now < self.tick_at {
            // A tick that is due is processed along with any command that arrives. Waking up for a
            // tick alone costs more than the tick itself, so it may be late by another interval,
            // unless a placement is wanted or scheduled.
            let delay = if self.core.has_pending_placement() { 0 } else { TICK_INTERVAL };
            self.incoming.sleep(Duration::from_micros(self.tick_at + delay - now));
        }
    }

    fn take_commands(&mut self, now: Micros) -> Vec<Command> {
        let CoreThread { incoming, pending, last_batch_at, .. } = self;
        let late =
            now - *last_batch_at > LATE_THRESHOLD || incoming.priority.len() > PRIORITY_BATCH;
        let priority = incoming.priority.try_iter().take(PRIORITY_BATCH);
        let lookups = incoming.lookups.try_iter().take(LOOKUP_BATCH);
        let submissions = incoming.submissions.try_iter().take(SUBMISSION_BATCH);
        let commands = priority.chain(lookups).chain(submissions);
        commands.filter_map(|queued| take_command(queued, now, late, pending)).collect()
    }

    fn detect_stall(&mut self, now: Micros) {
        let stall = now - self.last_batch_at;
        if stall > LOGGED_STALL_THRESHOLD {
            ProgramEvent::ProcessStalled { duration: Duration::from_micros(stall) }.log();
        }
        self.was_stalled |=
            stall > STALL_THRESHOLD || self.incoming.priority.len() > PRIORITY_BATCH;
    }

    /// Publishes the state from which connections answer some requests without the core.
    fn publish(&mut self, now: Micros) {
        let ready_until = if self.core.is_ready() { now + READY_LIFETIME } else { 0 };
        let rejected = self.incoming.publish(self.core.is_starting(), ready_until);
        self.core.count_rejected(rejected);
    }

    fn open_port(&mut self, now: Micros) -> io::Result<()> {
        if (!self.core.is_starting() || now >= self.open_at)
            && let Some(port) = self.port.take()
        {
            port.open()?;
        }
        Ok(())
    }

    fn execute(&mut self, effect: Effect) {
        let CoreThread { executors, pending, clock, .. } = self;
        match effect {
            Effect::Answer { id, status, body, retry_after_s, deadline } => {
                if deadline.is_some_and(|deadline| clock.now() >= deadline) {
                    // This node's authority to act has expired meanwhile.
                    pending.refuse_busy(id);
                } else {
                    pending.answer(id, &ResponseHead { status, retry_after_s }, &body);
                }
            }
            Effect::Terminate { reason } => {
                ProgramEvent::ProcessEnded { reason: &reason }.log();
                std::process::exit(i32::from(UNSUPPORTED_VERSION));
            }
            Effect::AnswerPeer { id, answer } => pending.answer_peer(id, answer),
            Effect::Store { call_id, call_priority, call } => {
                executors.store.submit(call_id, call_priority, call)
            }
            Effect::Cloud { call_id, call, deadline } => {
                executors.cloud.submit(call_id, call, deadline)
            }
            Effect::Worker { call_id, address, call, deadline } => {
                executors.workers.submit(call_id, address, call, deadline);
            }
            Effect::Peer { call_id, node, request } => {
                executors.peers.submit(call_id, node, request)
            }
            Effect::SetRateShare(share) => executors.set_share(share),
            Effect::Log(event) => log_event(event.level(), event.name(), &event),
        }
    }
}

/// Returns the command to process and registers its requester for the answer. Returns `None` if the
/// requester has given up or its deadline has passed, since the effects would come too late.
fn take_command(
    queued: QueuedCommand,
    now: Micros,
    late: bool,
    pending: &mut PendingReplies,
) -> Option<Command> {
    let QueuedCommand { command, requester } = queued;
    let Some(Requester { id, reply }) = requester else { return Some(command) };
    if let ReplyChannel::Http { responder, .. } = &reply {
        responder.mark_taken();
    }
    match reply {
        ReplyChannel::Http { responder, deadline } if deadline <= now => {
            pending.send_busy(responder);
            None
        }
        ReplyChannel::Http { responder, .. } if late && responder.is_closed_by_client() => None,
        reply => {
            pending.insert(id, reply);
            Some(command)
        }
    }
}
