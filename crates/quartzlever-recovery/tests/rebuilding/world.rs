//! A store with a clock, and controllers that may end at any of their calls.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::rc::Rc;

use quartzlever_recovery::StoreAccess;
use quartzlever_recovery::events::RebuildEvent;
use quartzlever_recovery::generation::Generation;
use quartzlever_recovery::history::History;
use quartzlever_recovery::identity::{IDENTITY_KEY, Identity, Phase};
use quartzlever_recovery::picture::{Picture, Record};
use quartzlever_recovery::rebuild::{Local, Opened, RebuildError, RebuildSettings, open};
use quartzlever_testkit::Store;
use quartzlever_wire::store::{StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

pub const START: Micros = 1_000 * SECOND;
pub const WORKER_LEASE: Micros = 30 * SECOND;
pub const NODES: [&str; 3] = ["one", "two", "three"];

/// What all controllers share.
#[derive(Debug)]
pub struct World {
    pub store: Store,
    pub now: Micros,
    draws: u64,
    pub events: Vec<RebuildEvent>,
}

pub type Shared = Rc<RefCell<World>>;

pub fn world() -> Shared {
    let world = World { store: Store::default(), now: START, draws: 0, events: Vec::new() };
    Rc::new(RefCell::new(world))
}

/// What a controller's process is ended with.
struct Killed;

/// What befalls the world.
pub type Befalls = fn(&mut World);

/// A controller's way to the world; it is killed at the call with this number, if any.
pub struct Access {
    pub world: Shared,
    pub calls: usize,
    pub killed_at: Option<usize>,
    /// What befalls the world after so many pauses.
    pub later: Option<(usize, Befalls)>,
    pauses: usize,
}

impl Access {
    pub fn new(world: &Shared) -> Access {
        Access { world: world.clone(), calls: 0, killed_at: None, later: None, pauses: 0 }
    }
}

impl StoreAccess for Access {
    fn call(&mut self, call: &StoreCall) -> Result<StoreReply, CallError> {
        self.calls += 1;
        if self.killed_at == Some(self.calls) {
            resume_unwind(Box::new(Killed));
        }
        let mut world = self.world.borrow_mut();
        let now = world.now;
        world.store.call(now, call)
    }

    fn now(&mut self) -> Micros {
        self.world.borrow().now
    }

    fn wall(&mut self) -> Micros {
        self.world.borrow().now
    }

    fn pause(&mut self, span: Micros) {
        self.pauses += 1;
        assert!(self.pauses < 5_000, "{:#?}", self.world.borrow().events);
        let mut world = self.world.borrow_mut();
        world.now += span;
        if let Some((_, injects)) = self.later.filter(|(after, _)| *after == self.pauses) {
            injects(&mut world);
        }
    }

    fn log(&mut self, event: RebuildEvent) {
        self.world.borrow_mut().events.push(event);
    }

    fn draw(&mut self) -> u64 {
        let mut world = self.world.borrow_mut();
        world.draws += 1;
        world.draws
    }
}

pub fn settings(node: &str, process: u64) -> RebuildSettings {
    RebuildSettings {
        node: node.into(),
        nodes: NODES.iter().map(|n| (*n).to_owned()).collect(),
        process,
        gather: 5 * SECOND,
        lease_life: 6 * SECOND,
        worker_lease: WORKER_LEASE,
        txn_ops: 3,
        write_rps: 100.0,
        value_bytes: 512,
    }
}

/// The identity of the first generation.
pub fn identity() -> Identity {
    Identity {
        cluster: "c".into(),
        generation: 0,
        namespace: String::new(),
        base: 0,
        phase: Phase::Serving,
    }
}

/// Writes records to the store, each in a change of its own, after the identity.
pub fn fill(world: &Shared, records: &[(&str, &str)]) {
    let mut world = world.borrow_mut();
    let now = world.now;
    let identity = serde_text(&identity());
    for (key, value) in [(IDENTITY_KEY, identity.as_str())].iter().chain(records) {
        let value = Json::from_text(value).expect("JSON");
        let txn = Txn::default().write(*key, value);
        assert!(matches!(
            world.store.call(now, &StoreCall::Txn(txn)),
            Ok(StoreReply::Committed(_))
        ));
    }
}

pub fn serde_text(value: &impl serde::Serialize) -> String {
    Json::of(value).text().to_owned()
}

/// What a controller that has seen everything knows.
pub fn history(world: &Shared) -> History {
    let world = world.borrow();
    let generation = Generation { identity: identity(), mod_revision: 1 };
    let keys = world.store.keys("").into_iter().filter(|key| !key.starts_with("recovery/"));
    let record = |key: &String| {
        let (value, mod_revision) = world.store.get(key)?;
        Some(Record {
            value: value.text().to_owned(),
            mod_revision: generation.revision(mod_revision),
        })
    };
    let rows: BTreeMap<String, Record> =
        keys.filter_map(|key| Some((key.clone(), record(&key)?))).collect();
    History {
        identity: identity(),
        picture: Picture::new(world.store.revision(), rows),
        witness: 0,
        wall: world.now,
        is_complete: true,
        write_times: Default::default(),
    }
}

pub fn local(history: &History) -> Local {
    Local { history: Some(history.clone()), marked: true, found: None }
}

/// Runs a controller's start to its end, or to the call at which it is killed.
pub fn start(
    access: &mut Access,
    settings: &RebuildSettings,
    local: &Local,
) -> Option<Result<Opened, RebuildError>> {
    match catch_unwind(AssertUnwindSafe(|| open(access, settings, local))) {
        Ok(result) => Some(result),
        Err(cause) if cause.is::<Killed>() => None,
        Err(cause) => resume_unwind(cause),
    }
}

/// Runs a controller's start.
pub fn opened(world: &Shared, node: &str, local: &Local) -> Opened {
    let mut access = Access::new(world);
    start(&mut access, &settings(node, 1), local).expect("not killed").expect("opened")
}

/// The records of a generation without their modification revisions.
pub fn values(picture: &Picture) -> Vec<(&str, &str)> {
    picture.rows().iter().map(|(key, r)| (key.as_str(), r.value.as_str())).collect()
}
