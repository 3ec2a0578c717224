//! A simulated store with a clock, and controllers that can be killed at any of their calls.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::rc::Rc;

use quartzlever_recovery::StoreAccess;
use quartzlever_recovery::events::RebuildEvent;
use quartzlever_recovery::generation::Generation;
use quartzlever_recovery::history::History;
use quartzlever_recovery::identity::{IDENTITY_KEY, Identity, Phase};
use quartzlever_recovery::rebuild::{LocalState, OpenedStore, RebuildError, RebuildSettings, open};
use quartzlever_recovery::records::{Record, RecordSet};
use quartzlever_testkit::Store;
use quartzlever_wire::store::{StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

pub const START: Micros = 1_000 * SECOND;
pub const WORKER_LEASE: Micros = 30 * SECOND;
pub const NODES: [&str; 3] = ["one", "two", "three"];

/// The store, the clock and the events, shared by all controllers.
#[derive(Debug)]
pub struct World {
    pub store: Store,
    pub now: Micros,
    draw_count: u64,
    pub events: Vec<RebuildEvent>,
}

pub type SharedWorld = Rc<RefCell<World>>;

pub fn world() -> SharedWorld {
    let world = World { store: Store::default(), now: START, draw_count: 0, events: Vec::new() };
    Rc::new(RefCell::new(world))
}

/// Panic payload that ends a controller's process.
struct Killed;

/// A function that changes the world, for example by injecting a fault.
pub type WorldChange = fn(&mut World);

/// One controller's access to the shared world.
pub struct TestAccess {
    pub world: SharedWorld,
    pub calls: usize,
    /// Number of the call at which the controller is killed.
    pub killed_at: Option<usize>,
    /// Number of pauses after which the world is changed, and the change.
    pub scheduled_change: Option<(usize, WorldChange)>,
    pauses: usize,
}

impl TestAccess {
    pub fn new(world: &SharedWorld) -> TestAccess {
        TestAccess {
            world: world.clone(),
            calls: 0,
            killed_at: None,
            scheduled_change: None,
            pauses: 0,
        }
    }
}

impl StoreAccess for TestAccess {
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

    fn wall_time(&mut self) -> Micros {
        self.world.borrow().now
    }

    fn pause(&mut self, span: Micros) {
        self.pauses += 1;
        assert!(self.pauses < 5_000, "the store was not opened: {:#?}", self.world.borrow().events);
        let mut world = self.world.borrow_mut();
        world.now += span;
        if let Some((_, change)) = self.scheduled_change.filter(|(after, _)| *after == self.pauses)
        {
            change(&mut world);
        }
    }

    fn log(&mut self, event: RebuildEvent) {
        self.world.borrow_mut().events.push(event);
    }

    fn random_number(&mut self) -> u64 {
        let mut world = self.world.borrow_mut();
        world.draw_count += 1;
        world.draw_count
    }
}

pub fn settings(node: &str, process: u64) -> RebuildSettings {
    RebuildSettings {
        node: node.into(),
        nodes: NODES.iter().map(|n| (*n).to_owned()).collect(),
        process,
        gather_timeout: 5 * SECOND,
        lease_lifetime: 6 * SECOND,
        worker_lease_lifetime: WORKER_LEASE,
        max_txn_changes: 3,
        max_changes_per_second: 100.0,
        max_value_bytes: 512,
    }
}

/// Returns the identity of the first generation.
pub fn identity() -> Identity {
    Identity {
        cluster: "c".into(),
        generation: 0,
        namespace: String::new(),
        base: 0,
        phase: Phase::Serving,
    }
}

/// Writes the identity and then the records to the store, each in a transaction of its own.
pub fn write_records(world: &SharedWorld, records: &[(&str, &str)]) {
    let mut world = world.borrow_mut();
    let now = world.now;
    let identity = json_text(&identity());
    for (key, value) in [(IDENTITY_KEY, identity.as_str())].iter().chain(records) {
        let value = Json::from_text(value).expect("JSON");
        let txn = Txn::default().write(*key, value);
        assert!(matches!(
            world.store.call(now, &StoreCall::Txn(txn)),
            Ok(StoreReply::Committed(_))
        ));
    }
}

pub fn json_text(value: &impl serde::Serialize) -> String {
    Json::of(value).text().to_owned()
}

/// Returns the history of a controller that knows all records in the store.
pub fn history(world: &SharedWorld) -> History {
    let world = world.borrow();
    let generation = Generation { identity: identity(), mod_revision: 1 };
    let keys = world.store.keys("").into_iter().filter(|key| !key.starts_with("recovery/"));
    let record = |key: &String| {
        let (value, mod_revision) = world.store.get(key)?;
        Some(Record {
            value: value.text().to_owned(),
            mod_revision: generation.revision_from_store(mod_revision),
        })
    };
    let rows: BTreeMap<String, Record> =
        keys.filter_map(|key| Some((key.clone(), record(&key)?))).collect();
    History {
        identity: identity(),
        records: RecordSet::new(world.store.revision(), rows),
        witness: 0,
        wall_time: world.now,
        is_complete: true,
        write_times: Default::default(),
    }
}

pub fn local(history: &History) -> LocalState {
    LocalState { history: Some(history.clone()), is_marked: true, known_loss: None }
}

/// Opens the store for a controller; returns `None` if the controller is killed.
pub fn run_open(
    access: &mut TestAccess,
    settings: &RebuildSettings,
    local: &LocalState,
) -> Option<Result<OpenedStore, RebuildError>> {
    match catch_unwind(AssertUnwindSafe(|| open(access, settings, local))) {
        Ok(result) => Some(result),
        Err(cause) if cause.is::<Killed>() => None,
        Err(cause) => resume_unwind(cause),
    }
}

/// Opens the store for a controller that is not killed.
pub fn open_store(world: &SharedWorld, node: &str, local: &LocalState) -> OpenedStore {
    let mut access = TestAccess::new(world);
    run_open(&mut access, &settings(node, 1), local).expect("not killed").expect("opened")
}

/// Returns the keys and values of a record set, without their modification revisions.
pub fn values(records: &RecordSet) -> Vec<(&str, &str)> {
    records.rows().iter().map(|(key, r)| (key.as_str(), r.value.as_str())).collect()
}
