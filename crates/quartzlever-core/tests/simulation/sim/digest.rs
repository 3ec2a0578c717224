//! Digest of everything that leaves the controllers of a simulation, to verify that a change of the
//! code does not change behaviour: `tools/compare-digests` compares the digests of two commits.
//!
//! The hash covers wire formats, and fixed numbers where there is none, so that it does not depend
//! on the names of types, fields and variants. Log events are left out.

use std::cell::Cell;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;
use std::{env, io, thread};

use quartzlever_core::{CallPriority, Effect};
use quartzlever_wire::cloud::{CloudCall, MachineNames};
use quartzlever_wire::peers;
use quartzlever_wire::store::{GrantRequest, StoreCall};
use quartzlever_wire::workers::WorkerCall;
use quartzlever_wire::{Micros, SECOND};
use serde::Serialize;

/// Environment variable that names the directory for digests; if it is unset, none are computed.
const DIRECTORY_VARIABLE: &str = "EFFECT_DIGESTS";

thread_local! {
    /// Number of simulations that the test of this thread has created.
    static SIMULATIONS: Cell<usize> = const { Cell::new(0) };
}

/// The running digest of one simulation, written when the simulation is dropped.
#[derive(Debug)]
pub struct EffectDigest {
    /// Directory to write the digest to, if any.
    directory: Option<PathBuf>,
    /// Number of the simulation within its test, from 1.
    simulation: usize,
    effects: u64,
    hash: Fnv,
}

impl EffectDigest {
    /// Creates the digest of the next simulation of this thread's test.
    pub fn new() -> Self {
        let simulation = SIMULATIONS.get() + 1;
        SIMULATIONS.set(simulation);
        let directory = env::var_os(DIRECTORY_VARIABLE).map(PathBuf::from);
        EffectDigest { directory, simulation, effects: 0, hash: Fnv::default() }
    }

    /// Adds the effects that a node returned at this time.
    pub fn add(&mut self, node: usize, now: Micros, effects: &[Effect]) {
        if self.directory.is_none() {
            return;
        }
        for effect in effects {
            if matches!(effect, Effect::Log(_)) {
                continue;
            }
            self.effects += 1;
            self.hash.number(node as u64);
            self.hash.number(now);
            self.hash.effect(effect);
        }
    }

    /// Appends a line with the test, the simulation, the number of effects and the hash to the
    /// test's file.
    fn write(&self) -> io::Result<()> {
        let Some(directory) = &self.directory else { return Ok(()) };
        let thread = thread::current();
        let test = thread.name().unwrap_or("unnamed");
        let line = format!("{test} {} {} {:016x}\n", self.simulation, self.effects, self.hash.0);
        let mut file = OpenOptions::new().create(true).append(true).open(directory.join(test))?;
        file.write_all(line.as_bytes())
    }
}

impl Drop for EffectDigest {
    fn drop(&mut self) {
        let written = self.write();
        if !thread::panicking() {
            written.expect("write the digest");
        }
    }
}

/// The 64-bit FNV-1a hash.
#[derive(Debug)]
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Fnv(0xcbf2_9ce4_8422_2325)
    }
}

impl Fnv {
    /// Hashes bytes without their length.
    fn raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn number(&mut self, number: u64) {
        self.raw(&number.to_le_bytes());
    }

    fn optional_number(&mut self, number: Option<u64>) {
        self.number(u64::from(number.is_some()));
        self.number(number.unwrap_or(0));
    }

    /// Hashes bytes preceded by their length.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.raw(bytes);
    }

    fn text(&mut self, text: &str) {
        self.bytes(text.as_bytes());
    }

    fn optional_text(&mut self, text: Option<&str>) {
        self.number(u64::from(text.is_some()));
        self.text(text.unwrap_or(""));
    }

    fn json(&mut self, message: &impl Serialize) {
        self.bytes(&serde_json::to_vec(message).expect("serialize the message as JSON"));
    }

    fn frame(&mut self, message: &impl Serialize) {
        let mut frame = Vec::new();
        peers::send(&mut frame, message).expect("encode the message as a frame");
        self.bytes(&frame);
    }

    fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Answer { id, status, body, retry_after_s, deadline } => {
                self.number(1);
                self.number(*id);
                self.number(u64::from(*status));
                self.json(body);
                self.optional_number(retry_after_s.map(u64::from));
                self.optional_number(*deadline);
            }
            Effect::Log(_) => {}
            Effect::AnswerPeer { id, answer } => {
                self.number(2);
                self.number(*id);
                self.frame(answer);
            }
            Effect::Store { call_id, call_priority, call } => {
                self.number(3);
                self.number(*call_id);
                self.number(priority_number(*call_priority));
                self.store_call(call);
            }
            Effect::Cloud { call_id, call, deadline } => {
                self.number(4);
                self.number(*call_id);
                self.cloud_call(call);
                self.number(*deadline);
            }
            Effect::Worker { call_id, address, call, deadline } => {
                self.number(5);
                self.number(*call_id);
                self.text(address);
                self.worker_call(call);
                self.number(*deadline);
            }
            Effect::Peer { call_id, node, request } => {
                self.number(6);
                self.number(*call_id);
                self.text(node);
                self.frame(request);
            }
            Effect::Terminate { reason } => {
                self.number(7);
                self.text(reason);
            }
            Effect::SetRateShare(share) => {
                self.number(8);
                self.number(share.to_bits());
            }
        }
    }

    fn store_call(&mut self, call: &StoreCall) {
        match call {
            StoreCall::Revision => self.number(1),
            StoreCall::Get(key) => {
                self.number(2);
                self.text(key);
            }
            StoreCall::List { prefix, from } => {
                self.number(3);
                self.text(prefix);
                self.optional_text(from.as_deref());
            }
            StoreCall::Txn(txn) => {
                self.number(4);
                self.json(txn);
            }
            StoreCall::Grant { life_ms } => {
                self.number(5);
                self.json(&GrantRequest { life_ms: *life_ms });
            }
            StoreCall::Renew { lease } => {
                self.number(6);
                self.number(*lease);
            }
            StoreCall::Watch { from, hold_ms } => {
                self.number(7);
                self.number(*from);
                self.number(*hold_ms);
            }
        }
    }

    fn cloud_call(&mut self, call: &CloudCall) {
        match call {
            CloudCall::Catalogue => self.number(1),
            CloudCall::ScaleOut(request) => {
                self.number(2);
                self.json(request);
            }
            CloudCall::ScaleIn(machines) => {
                self.number(3);
                self.json(&MachineNames { machines: machines.clone() });
            }
            CloudCall::List { from } => {
                self.number(4);
                self.optional_text(from.as_deref());
            }
        }
    }

    fn worker_call(&mut self, call: &WorkerCall) {
        match call {
            WorkerCall::Status => self.number(1),
            WorkerCall::Command(commands) => {
                self.number(2);
                self.json(commands);
            }
        }
    }
}

fn priority_number(call_priority: CallPriority) -> u64 {
    match call_priority {
        CallPriority::Lease => 1,
        CallPriority::Watch => 2,
        CallPriority::Work => 3,
        CallPriority::User => 4,
    }
}

#[test]
fn a_digest_depends_on_order_content_node_and_time_but_not_on_log_events() {
    let share = |share: f64| Effect::SetRateShare(share);
    let terminate = |reason: &str| Effect::Terminate { reason: reason.to_owned() };
    let log_event = || Effect::Log(quartzlever_core::LogEvent::WorkersReachable);
    let digest = |node: usize, now: Micros, effects: &[Effect]| {
        let hash = Fnv::default();
        // The directory is removed before the drop, so that nothing is written.
        let directory = Some(PathBuf::new());
        let mut digest = EffectDigest { directory, simulation: 0, effects: 0, hash };
        digest.add(node, now, effects);
        digest.directory = None;
        (digest.effects, digest.hash.0)
    };
    let first = digest(0, SECOND, &[share(0.5), terminate("x")]);
    assert_eq!(first, digest(0, SECOND, &[share(0.5), log_event(), terminate("x")]));
    assert_eq!(first.0, 2);
    for other in [
        digest(0, SECOND, &[terminate("x"), share(0.5)]),
        digest(0, SECOND, &[share(0.25), terminate("x")]),
        digest(0, SECOND, &[share(0.5), terminate("y")]),
        digest(0, SECOND, &[share(0.5)]),
        digest(1, SECOND, &[share(0.5), terminate("x")]),
        digest(0, SECOND + 1, &[share(0.5), terminate("x")]),
    ] {
        assert_ne!(first, other);
    }
}
