//! The fakes on loopback ports, each served by `tiny_http` until the process ends.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_wire::cloud::{CloudCall, CloudReply, Instance, MachineNames, ScaleOutRequest};
use quartzlever_wire::store::{GrantAnswer, GrantRequest, StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Micros, SECOND};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, Server};

use crate::{Cloud, Store};

/// The fakes' time of day: microseconds since the start of the test, and a second more, so that no time
/// is 0.
pub(crate) fn micros(start: Instant) -> Micros {
    SECOND + start.elapsed().as_micros() as Micros
}

/// Answers a request with a JSON body.
pub(crate) fn respond(request: Request, status: u16, body: &Value) {
    let mut response = Response::from_string(body.to_string()).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // A caller that has gone away needs no answer.
    let _ = request.respond(response);
}

/// The body of a request; empty if it cannot be read.
pub(crate) fn body_of(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        body.clear();
    }
    body
}

/// The value of a query field, as our own clients write it.
fn query(url: &str, name: &str) -> Option<String> {
    let (_, fields) = url.split_once('?')?;
    fields.split('&').find_map(|field| {
        let (key, value) = field.split_once('=')?;
        (key == name).then(|| value.replace("%2F", "/"))
    })
}

/// Serves requests at a new loopback port, so many at a time.
pub(crate) fn listen(
    threads: usize,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let server = Arc::new(Server::http("127.0.0.1:0").map_err(io::Error::other)?);
    let address = server.server_addr().to_ip().ok_or_else(|| io::Error::other("no address"))?;
    let handle = Arc::new(handle);
    for _ in 0..threads {
        let (server, handle) = (server.clone(), handle.clone());
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                handle(request);
            }
        });
    }
    Ok(address)
}

/// Open watches take a thread each: two of each controller, and a few for everything else.
const STORE_THREADS: usize = 24;
const CLOUD_THREADS: usize = 4;

/// Serves a fake store at a new loopback port.
pub fn serve_store(store: Arc<Mutex<Store>>, start: Instant) -> io::Result<SocketAddr> {
    listen(STORE_THREADS, move |mut request| match store_call(&mut request) {
        Ok(call) => {
            if let Some((status, value)) = answer_store_call(&store, start, &call) {
                respond(request, status, &value);
            }
        }
        Err(error) => respond(request, 400, &json!({ "error": error })),
    })
}

/// The call that a request to the store stands for, or what is wrong with it.
fn store_call(request: &mut Request) -> Result<StoreCall, String> {
    let body = body_of(request);
    let url = request.url();
    let path = url.split('?').next().unwrap_or("");
    let number = |name| query(url, name).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok(match (request.method(), path) {
        (Method::Get, "/keys") => StoreCall::List {
            prefix: query(url, "under").unwrap_or_default(),
            from: query(url, "from"),
        },
        (Method::Get, "/watch") => {
            StoreCall::Watch { from: number("from"), hold_ms: number("hold_ms") }
        }
        (Method::Get, path) => StoreCall::Get(path.trim_start_matches("/keys/").to_owned()),
        (Method::Post, "/multi") => StoreCall::Txn(parsed::<Txn>(&body)?),
        (Method::Post, "/holds") => {
            StoreCall::Grant { life_ms: parsed::<GrantRequest>(&body)?.life_ms }
        }
        (Method::Post, path) => {
            let id = path.trim_start_matches("/holds/").trim_end_matches("/renew");
            StoreCall::Renew { lease: id.parse().unwrap_or(0) }
        }
        _ => return Err("no such call".to_owned()),
    })
}

fn parsed<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

/// Carries out a call, a watch as soon as there is something or its time is over. No answer comes
/// from a store whose user has panicked.
fn answer_store_call(
    store: &Mutex<Store>,
    start: Instant,
    call: &StoreCall,
) -> Option<(u16, Value)> {
    let end = match call {
        StoreCall::Watch { hold_ms, .. } => Instant::now() + Duration::from_millis(*hold_ms),
        _ => Instant::now(),
    };
    loop {
        let mut guard = store.lock().ok()?;
        let result = guard.call(micros(start), call);
        if let Ok(StoreReply::Watched(answer)) = &result
            && (guard.watches_held || (answer.log.is_empty() && Instant::now() < end))
        {
            drop(guard);
            thread::sleep(Duration::from_millis(10));
            continue;
        }
        return Some(store_answer(&guard, call, result));
    }
}

/// Status and body of an answer of the store.
fn store_answer(
    store: &Store,
    call: &StoreCall,
    result: Result<StoreReply, CallError>,
) -> (u16, Value) {
    match result {
        Ok(StoreReply::Read(Some(entry))) => (200, json!(entry)),
        Ok(StoreReply::Read(None)) => (404, json!(store.txn_answer(None))),
        Ok(StoreReply::Revision(revision)) => (404, json!({ "epoch": revision })),
        Ok(StoreReply::Listed(rows)) => (200, json!(rows)),
        Ok(StoreReply::Committed(_)) => (200, json!(store.txn_answer(None))),
        Ok(StoreReply::Conflict(failed)) => (409, json!(store.txn_answer(Some(failed)))),
        Ok(StoreReply::NoLease) if matches!(call, StoreCall::Txn(_)) => {
            (400, json!({ "error": "no such lease" }))
        }
        Ok(StoreReply::NoLease) => (404, json!({})),
        Ok(StoreReply::Granted(lease_id)) => (200, json!(GrantAnswer { lease_id })),
        Ok(StoreReply::Renewed) => (200, json!({})),
        Ok(StoreReply::Watched(answer)) => (200, json!(answer)),
        Ok(StoreReply::TooOld) => (410, json!({})),
        Ok(StoreReply::TooLarge) => (400, json!({ "error": "too large" })),
        Err(CallError::Throttled) => (429, json!({ "error": "too often" })),
        Err(_) => (503, json!({ "error": "trouble" })),
    }
}

/// Serves a fake cloud at a new loopback port; `terminated` is told of each returned machine, `launched` of
/// each new one.
pub fn serve_cloud(
    cloud: Arc<Mutex<Cloud>>,
    terminated: impl Fn(&str) + Send + Sync + 'static,
    launched: impl Fn(Instance) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    listen(CLOUD_THREADS, move |mut request| {
        let call = match cloud_call(&mut request) {
            Ok(call) => call,
            Err(error) => return respond(request, 400, &json!({ "error": error })),
        };
        let Ok(mut guard) = cloud.lock() else { return };
        let before: BTreeSet<String> = guard.machines.keys().cloned().collect();
        let reply = guard.call(&call);
        let new: Vec<_> =
            guard.machines.values().filter(|m| !before.contains(&m.name)).cloned().collect();
        drop(guard);
        new.into_iter().for_each(&launched);
        if let (CloudReply::ScaledIn, CloudCall::ScaleIn(machines)) = (&reply, &call) {
            machines.iter().for_each(|machine| terminated(machine));
        }
        let (status, value) = cloud_answer(reply);
        respond(request, status, &value);
    })
}

/// The call that a request to the cloud stands for, or what is wrong with it.
fn cloud_call(request: &mut Request) -> Result<CloudCall, String> {
    let body = body_of(request);
    let url = request.url();
    Ok(match url.split('?').next().unwrap_or("") {
        "/catalog" => CloudCall::Catalogue,
        "/rentals" if *request.method() == Method::Post => {
            CloudCall::ScaleOut(parsed::<ScaleOutRequest>(&body)?)
        }
        "/rentals" => CloudCall::List { from: query(url, "from") },
        _ => CloudCall::ScaleIn(parsed::<MachineNames>(&body)?.machines),
    })
}

/// Status and body of an answer of the cloud.
fn cloud_answer(reply: CloudReply) -> (u16, Value) {
    match reply {
        CloudReply::Catalogue(catalogue) => (200, json!(catalogue)),
        CloudReply::ScaledOut(machines) => (200, json!(MachineNames { machines })),
        CloudReply::NoCapacity => (503, json!({ "error": "no capacity" })),
        CloudReply::ScaledIn => (200, json!({})),
        CloudReply::Listed(instances) => (200, json!(instances)),
    }
}
