//! The core's thread, and the threads that carry out its effects.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, unbounded};
use quartzlever_clients::{Budget, CloudClient, PeerClient, StateClient, WorkerClient};
use quartzlever_core::{Answer, Command, Core, Effect, Lane, RequestId, Token, Weight};
use quartzlever_wire::cloud::CloudCall;
use quartzlever_wire::peers::{self, PeerAnswer, PeerRequest};
use quartzlever_wire::state::StateCall;
use quartzlever_wire::workers::WorkerCall;
use quartzlever_wire::{CallError, Micros};

use crate::clock::{Clock, wall};
use crate::exit_status::UNKNOWN_VERSION;
use crate::inbox::{Inbox, InboxReceiver, Item, Reply};
use crate::recovery::{self, OwnLog, Recovery, StateService};
use crate::responder::{BUSY, BUSY_BODY, Responder, Status};
use crate::server::{self, Port};
use crate::settings::Settings;
use crate::thread_pool::{self, Accepted};

const STACK: usize = 192 * 1024;
const TICK: Duration = Duration::from_millis(200);
/// A loop that took longer than this did not listen meanwhile.
const STOOD_STILL: Micros = 1_000_000;
/// The log is told of longer ones: shorter ones come with a processor that is short.
const STILL_TOLD: Micros = 4_000_000;
/// As long, and some of those who ask may have given up.
const LATE: Micros = 400_000;
/// Users and workers are served once the state service has been read, or else after this time, to
/// be told when to come back.
const OPEN_AFTER: Micros = 5_000_000;
/// How long the core's word that the node can take requests counts.
const READY_FOR: Micros = 2_000_000;
/// The largest batch of the first queue before users get their turn.
const BATCH: usize = 64;
const QUESTION_BATCH: usize = 64;
const SUBMISSION_BATCH: usize = 16;
/// As many as the core has direct calls under way: hung machines must not block the others.
const WORKER_THREADS: usize = 32;
const PEER_CONNECTIONS: usize = 32;
const PEER_IDLE: Duration = Duration::from_secs(60);
const PEER_PATIENCE: Duration = Duration::from_millis(1800);
/// Share of a limit that the nodes allow themselves together: bursts of several may meet.
const SHARE: f64 = 0.95;

struct StateJob {
    token: Token,
    call: StateCall,
}

struct CloudJob {
    token: Token,
    call: CloudCall,
    until: Micros,
}

struct WorkerJob {
    token: Token,
    address: String,
    call: WorkerCall,
    until: Micros,
}

struct PeerJob {
    token: Token,
    node: String,
    request: PeerRequest,
}

/// The queues of the threads that carry out effects.
struct EffectThreads {
    lanes: HashMap<Lane, Sender<StateJob>>,
    cloud: Sender<CloudJob>,
    workers: Sender<WorkerJob>,
    peers: Sender<PeerJob>,
    /// What the state service and the cloud allow to all, and this node's part of it.
    limits: [(f64, Arc<Budget>); 2],
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.to_owned()).stack_size(STACK).spawn(work).map(|_| ())
}

impl EffectThreads {
    fn start(
        settings: &Settings,
        client: &StateService,
        inbox: &Inbox,
        clock: Clock,
    ) -> io::Result<EffectThreads> {
        // Until the core knows who shares the limits.
        let share = SHARE / settings.core.nodes.len() as f64;
        // The core keeps account of changes, since it knows which are worth most.
        let requests = Arc::new(Budget::new(settings.core.state_rps * share));
        let mut lanes = HashMap::new();
        // Lane, threads, share of the budget left to others, patience.
        for (lane, threads, keep, patience) in [
            (Lane::Lease, 2, 0.0, 2000),
            (Lane::Watch, 2, 0.0, 2000),
            (Lane::Work, 4, 0.1, 1500),
            (Lane::User, 4, 0.25, 600),
        ] {
            let (sender, receiver) = unbounded::<StateJob>();
            for _ in 0..threads {
                let receiver: Receiver<StateJob> = receiver.clone();
                let (client, inbox) = (client.clone(), inbox.clone());
                let requests = requests.clone();
                let patience = Duration::from_millis(patience);
                spawn("state", move || {
                    for StateJob { token, call } in receiver {
                        let allowed = requests.wait(1.0, keep, patience);
                        let result =
                            if allowed { client.call(&call) } else { Err(CallError::Refused) };
                        inbox.deliver(Command::State { token, result });
                    }
                })?;
            }
            lanes.insert(lane, sender);
        }

        let budget = Arc::new(Budget::new(settings.cloud_rps * share));
        let (cloud, receiver) = unbounded::<CloudJob>();
        for _ in 0..2 {
            let client = CloudClient::new(&settings.cloud);
            let (receiver, inbox, budget) = (receiver.clone(), inbox.clone(), budget.clone());
            spawn("cloud", move || {
                for CloudJob { token, call, until } in receiver {
                    let allowed = budget.wait(1.0, 0.0, Duration::from_secs(5));
                    // Whoever holds the part by then may have found the machines alive.
                    let late = matches!(call, CloudCall::Return(_)) && clock.now() >= until;
                    let allowed = allowed && !late;
                    let result = if allowed { client.call(&call) } else { Err(CallError::Refused) };
                    inbox.deliver(Command::Cloud { token, result });
                }
            })?;
        }

        let (workers, receiver) = unbounded::<WorkerJob>();
        let client = WorkerClient::default();
        for _ in 0..WORKER_THREADS {
            let (receiver, inbox, client) = (receiver.clone(), inbox.clone(), client.clone());
            spawn("worker", move || {
                for WorkerJob { token, address, call, until } in receiver {
                    // The right to command may have run out while the call waited its turn.
                    let result = if clock.now() < until {
                        client.call(&address, &call)
                    } else {
                        Err(CallError::Refused)
                    };
                    inbox.deliver(Command::Worker { token, result });
                }
            })?;
        }

        let (peers, receiver) = unbounded::<PeerJob>();
        let client = Arc::new(PeerClient::default());
        let addresses: HashMap<String, SocketAddr> = settings.peers.iter().cloned().collect();
        for _ in 0..3 {
            let (receiver, inbox, client) = (receiver.clone(), inbox.clone(), client.clone());
            let addresses = addresses.clone();
            spawn("peer", move || {
                for PeerJob { token, node, request } in receiver {
                    let result = match addresses.get(&node) {
                        Some(address) => client.call(*address, &request),
                        None => Err(CallError::Refused),
                    };
                    inbox.deliver(Command::Asked { token, result });
                }
            })?;
        }
        let limits = [(settings.core.state_rps, requests), (settings.cloud_rps, budget)];
        Ok(EffectThreads { lanes, cloud, workers, peers, limits })
    }
}

/// Serves peers: a thread for each connection, each asking one thing at a time.
fn serve_peers(address: SocketAddr, inbox: Inbox, log: OwnLog) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread_pool::accept_loop(
        "peers",
        listener,
        PEER_CONNECTIONS,
        move |Accepted { mut stream, new }| {
            drop(new);
            let set = stream
                .set_read_timeout(Some(PEER_IDLE))
                .and_then(|()| stream.set_write_timeout(Some(PEER_PATIENCE)))
                .and_then(|()| stream.set_nodelay(true));
            if set.is_err() {
                return;
            }
            while let Ok(request) = peers::receive::<PeerRequest>(&mut stream) {
                let answer = match request {
                    PeerRequest::Logged(changes) => recovery::take_changes(&log, changes),
                    request => inbox
                        .ask_for_peer(PEER_PATIENCE, |id| Command::Peer { id, request })
                        .unwrap_or(PeerAnswer::Nothing),
                };
                if peers::send(&mut stream, &answer).is_err() {
                    return;
                }
            }
        },
    )
}

/// Runs a controller until the process is ended.
pub fn run(settings: Settings, recovery: Option<Recovery>, seed: u64) -> io::Result<()> {
    let clock = Clock::new();
    let (inbox, incoming) = Inbox::new();
    let log = OwnLog::default();
    serve_peers(settings.internal, inbox.clone(), log.clone())?;
    let bounds = server::Bounds::of(settings.limits);
    let port = Port::take(settings.api, bounds, inbox.clone(), clock)?;
    tracing::info!("{} serves {}", settings.core.node, port.address()?);
    let (service, port) = match recovery {
        None => (StateService::Direct(StateClient::new(&settings.state)), Some(port)),
        Some(recovery) => {
            port.open()?;
            (open_state(&settings, recovery, &log, &incoming)?, None)
        }
    };
    let threads = EffectThreads::start(&settings, &service, &inbox, clock)?;
    let core = Core::new(settings.core, seed, clock.now());
    work(core, incoming, threads, port, clock)
}

/// Turns everybody away until the state service may be worked with.
fn open_state(
    settings: &Settings,
    recovery: Recovery,
    log: &OwnLog,
    incoming: &InboxReceiver,
) -> io::Result<StateService> {
    let core = thread::current();
    thread::scope(|scope| {
        let opening = thread::Builder::new().name("recovery".into()).spawn_scoped(scope, || {
            let opened = recovery::open(settings, recovery, log);
            core.unpark();
            opened
        })?;
        let mut message = Vec::new();
        while !opening.is_finished() {
            incoming.publish(true, 0);
            incoming.sleep(TICK);
            let all = incoming.priority.try_iter().chain(incoming.questions.try_iter());
            for Item { reply, .. } in all.chain(incoming.submissions.try_iter()) {
                // A peer whose reply is dropped is told nothing.
                if let Some((_, Reply::Http { responder, .. })) = reply {
                    responder.mark_taken();
                    responder.send(&BUSY, BUSY_BODY, &mut message);
                }
            }
        }
        opening.join().map_err(|_| io::Error::other("the recovery of lost state failed"))?
    })
}

/// Requests that wait for their answers.
#[derive(Default)]
struct Waiting {
    replies: HashMap<RequestId, Reply>,
    /// When each is given up; some were answered long before.
    ends: BinaryHeap<Reverse<(Micros, RequestId)>>,
    /// Where answers are written, to be reused.
    body: Vec<u8>,
    message: Vec<u8>,
}

impl Waiting {
    fn await_answer(&mut self, id: RequestId, reply: Reply) {
        if let Reply::Http { until: end, .. } = reply {
            self.ends.push(Reverse((end, id)));
        }
        self.replies.insert(id, reply);
    }

    /// Tells those whose time is over to come back.
    fn give_up(&mut self, now: Micros) {
        while let Some(Reverse((end, id))) = self.ends.peek().copied()
            && end <= now
        {
            self.ends.pop();
            if let Some(Reply::Http { responder, .. }) = self.replies.remove(&id) {
                responder.send(&BUSY, BUSY_BODY, &mut self.message);
            }
        }
    }

    fn answer(&mut self, responder: Responder, status: &Status, body: &Answer) {
        self.body.clear();
        // Our own types can always be written, and into memory.
        let _ = serde_json::to_writer(&mut self.body, body);
        responder.send(status, &self.body, &mut self.message);
    }
}

/// The one owner of all state: takes commands in batches and hands out effects. A port that is handed over
/// is opened once the state service has been read.
fn work(
    mut core: Core,
    incoming: InboxReceiver,
    threads: EffectThreads,
    mut port: Option<Port>,
    clock: Clock,
) -> io::Result<()> {
    const TICK_MICROS: Micros = TICK.as_micros() as Micros;
    let mut waiting = Waiting::default();
    let mut ticked = None;
    let (mut last, mut behind) = (clock.now(), false);
    let open_at = clock.now() + OPEN_AFTER;
    loop {
        let now = clock.now();
        let tick_at = ticked.map_or(now, |t| t + TICK_MICROS);
        if now < tick_at {
            // Whatever else comes brings the tick with it: woken for itself alone it costs more
            // than it does, so it comes later if nothing is due.
            let lazy = if core.awaits_time() { 0 } else { TICK_MICROS };
            incoming.sleep(Duration::from_micros(tick_at + lazy - now));
        }
        let now = clock.now();
        let late = now - last > LATE || incoming.priority.len() > BATCH;
        let mut batch: Vec<Command> = Vec::new();
        let mut take = |Item { command, reply }: Item| {
            if let Some((_, Reply::Http { responder, .. })) = &reply {
                responder.mark_taken();
            }
            match reply {
                // Its asker has given up: what would be done for it comes too late.
                Some((_, Reply::Http { responder, until: end })) if end <= now => {
                    responder.send(&BUSY, BUSY_BODY, &mut waiting.message);
                    return;
                }
                Some((_, Reply::Http { responder, .. })) if late && responder.is_given_up() => {
                    return;
                }
                Some((id, reply)) => waiting.await_answer(id, reply),
                None => {}
            }
            batch.push(command);
        };
        incoming.priority.try_iter().take(BATCH).for_each(&mut take);
        incoming.questions.try_iter().take(QUESTION_BATCH).for_each(&mut take);
        incoming.submissions.try_iter().take(SUBMISSION_BATCH).for_each(&mut take);
        waiting.give_up(now);
        let still = now - last;
        if still > STILL_TOLD {
            tracing::info!("stood still for {:.1} s", still as f64 / 1e6);
        }
        behind |= still > STOOD_STILL || incoming.priority.len() > BATCH;
        last = now;
        if now >= tick_at {
            ticked = Some(now);
            batch.push(Command::Tick { wall: wall(), behind });
            behind = false;
        }
        if batch.is_empty() {
            continue;
        }
        for effect in core.step(now, batch) {
            carry_out(effect, &threads, &mut waiting, clock);
        }
        let ready_until = if core.is_ready() { now + READY_FOR } else { 0 };
        core.turned_away_unasked(incoming.publish(core.starting(), ready_until));
        if (!core.starting() || now >= open_at)
            && let Some(port) = port.take()
        {
            port.open()?;
        }
    }
}

fn carry_out(effect: Effect, threads: &EffectThreads, waiting: &mut Waiting, clock: Clock) {
    // A queue or a waiting request that is gone means that nobody wants the result.
    match effect {
        Effect::Answer { id, status, body, retry_after_s, until } => {
            if let Some(Reply::Http { responder, .. }) = waiting.replies.remove(&id) {
                if until.is_some_and(|until| clock.now() >= until) {
                    // The right to act has run out on the way here.
                    responder.send(&BUSY, BUSY_BODY, &mut waiting.message);
                } else {
                    waiting.answer(responder, &Status { status, retry_after_s }, &body);
                }
            }
        }
        Effect::End { why } => {
            tracing::error!("{why}");
            std::process::exit(i32::from(UNKNOWN_VERSION));
        }
        Effect::AnswerPeer { id, answer } => {
            if let Some(Reply::Peer(sender)) = waiting.replies.remove(&id) {
                let _ = sender.send(answer);
            }
        }
        Effect::State { token, lane, call } => {
            if let Some(queue) = threads.lanes.get(&lane) {
                let _ = queue.send(StateJob { token, call });
            }
        }
        Effect::Cloud { token, call, until } => {
            let _ = threads.cloud.send(CloudJob { token, call, until });
        }
        Effect::Worker { token, address, call, until } => {
            let _ = threads.workers.send(WorkerJob { token, address, call, until });
        }
        Effect::Peer { token, node, request } => {
            let _ = threads.peers.send(PeerJob { token, node, request });
        }
        Effect::Share(share) => {
            for (limit, budget) in &threads.limits {
                budget.set_rate(limit * share * SHARE);
            }
        }
        Effect::Note { weight, text } => match weight {
            Weight::Error => tracing::error!("{text}"),
            Weight::Info => tracing::info!("{text}"),
            Weight::Debug => tracing::debug!("{text}"),
        },
    }
}
