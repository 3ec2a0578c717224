//! Serves the fakes over HTTP on loopback ports, with `tiny_http`, until the process exits.

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_wire::cloud::{CloudCall, CloudReply, Instance, MachineNames, ScaleOutRequest};
use quartzlever_wire::store::{GrantAnswer, GrantRequest, StoreCall, StoreReply, Txn, TxnAnswer};
use quartzlever_wire::{CallError, Micros, SECOND};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, Server};

use crate::{Cloud, Store};

/// Returns the time of the test: microseconds since `start` plus one second, so that no time is 0.
pub(crate) fn test_time(start: Instant) -> Micros {
    SECOND + start.elapsed().as_micros() as Micros
}

/// Responds to a request with a JSON body.
pub(crate) fn respond(request: Request, status: u16, body: &Value) {
    let mut response = Response::from_string(body.to_string()).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // Fails if the client has closed the connection, which is no fault of the test.
    let _ = request.respond(response);
}

/// Reads the body of a request. Returns an empty body if reading fails.
pub(crate) fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        body.clear();
    }
    body
}

/// Returns the value of a query parameter. Of all percent-encoded characters, decodes only the
/// slashes, as in the key prefixes that the clients of this project send.
fn query_parameter(url: &str, name: &str) -> Option<String> {
    let (_, fields) = url.split_once('?')?;
    fields.split('&').find_map(|field| {
        let (key, value) = field.split_once('=')?;
        (key == name).then(|| value.replace("%2F", "/"))
    })
}

/// Serves requests at a new loopback port with `threads` threads and returns the address.
fn serve(
    threads: usize,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    serve_at((Ipv4Addr::LOCALHOST, 0).into(), threads, handle)
}

/// Serves requests at an address with `threads` threads and returns the address with its port.
pub(crate) fn serve_at(
    address: SocketAddr,
    threads: usize,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let server = Arc::new(Server::http(address).map_err(io::Error::other)?);
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

/// Each open watch occupies a thread: two per controller, plus a few for all other calls.
const STORE_THREADS: usize = 24;
const CLOUD_THREADS: usize = 4;

/// Serves a fake store at a new loopback port and returns the address. `start` is the instant from
/// which the test counts time.
pub fn serve_store(store: Arc<Mutex<Store>>, start: Instant) -> io::Result<SocketAddr> {
    serve(STORE_THREADS, move |mut request| match parse_store_call(&mut request) {
        Ok(call) => {
            if let Some((status, value)) = execute_store_call(&store, start, &call) {
                respond(request, status, &value);
            }
        }
        Err(error) => respond(request, 400, &json!({ "error": error })),
    })
}

/// Parses a request to the store. The error is a text for the response.
fn parse_store_call(request: &mut Request) -> Result<StoreCall, String> {
    let body = read_body(request);
    let url = request.url();
    let path = url.split('?').next().unwrap_or("");
    let number = |name| query_parameter(url, name).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok(match (request.method(), path) {
        (Method::Get, "/keys") => StoreCall::List {
            prefix: query_parameter(url, "under").unwrap_or_default(),
            from: query_parameter(url, "from"),
        },
        (Method::Get, "/watch") => {
            StoreCall::Watch { from: number("from"), hold_ms: number("hold_ms") }
        }
        (Method::Get, path) => StoreCall::Get(path.trim_start_matches("/keys/").to_owned()),
        (Method::Post, "/multi") => StoreCall::Txn(parse_json::<Txn>(&body)?),
        (Method::Post, "/holds") => {
            StoreCall::Grant { life_ms: parse_json::<GrantRequest>(&body)?.life_ms }
        }
        (Method::Post, path) => {
            let id = path.trim_start_matches("/holds/").trim_end_matches("/renew");
            StoreCall::Renew { lease: id.parse().unwrap_or(0) }
        }
        _ => return Err("no such call".to_owned()),
    })
}

/// Parses a JSON body. The error is a text for the response.
fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

/// Executes a call and returns status and body of the response.
///
/// A watch waits until there are changes or its hold time has passed. Returns `None`, and thereby
/// sends no response, if another thread has panicked while it held the store.
fn execute_store_call(
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
        let result = guard.call(test_time(start), call);
        if let Ok(StoreReply::Watched(answer)) = &result
            && (guard.hold_watches || (answer.log.is_empty() && Instant::now() < end))
        {
            drop(guard);
            thread::sleep(Duration::from_millis(10));
            continue;
        }
        return Some(store_response(&guard, call, result));
    }
}

/// Returns status and body of the response of the store.
fn store_response(
    store: &Store,
    call: &StoreCall,
    result: Result<StoreReply, CallError>,
) -> (u16, Value) {
    match result {
        Ok(StoreReply::Read(entry)) => (200, json!(entry)),
        Ok(StoreReply::Absent { revision }) => (404, json!(TxnAnswer { revision, failed: None })),
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

/// Serves a fake cloud at a new loopback port and returns the address.
///
/// Calls `on_launched` for each new machine and `on_terminated` with the name of each machine in a
/// scale-in request, before the response is sent.
pub fn serve_cloud(
    cloud: Arc<Mutex<Cloud>>,
    on_terminated: impl Fn(&str) + Send + Sync + 'static,
    on_launched: impl Fn(Instance) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    serve(CLOUD_THREADS, move |mut request| {
        let call = match parse_cloud_call(&mut request) {
            Ok(call) => call,
            Err(error) => return respond(request, 400, &json!({ "error": error })),
        };
        let Ok(mut guard) = cloud.lock() else { return };
        let before: BTreeSet<String> = guard.machines.keys().cloned().collect();
        let reply = guard.call(&call);
        let new: Vec<_> =
            guard.machines.values().filter(|m| !before.contains(&m.name)).cloned().collect();
        drop(guard);
        new.into_iter().for_each(&on_launched);
        if let (CloudReply::ScaledIn, CloudCall::ScaleIn(machines)) = (&reply, &call) {
            machines.iter().for_each(|machine| on_terminated(machine));
        }
        let (status, value) = cloud_response(reply);
        respond(request, status, &value);
    })
}

/// Parses a request to the cloud. The error is a text for the response.
fn parse_cloud_call(request: &mut Request) -> Result<CloudCall, String> {
    let body = read_body(request);
    let url = request.url();
    Ok(match url.split('?').next().unwrap_or("") {
        "/catalog" => CloudCall::Catalogue,
        "/rentals" if *request.method() == Method::Post => {
            CloudCall::ScaleOut(parse_json::<ScaleOutRequest>(&body)?)
        }
        "/rentals" => CloudCall::List { from: query_parameter(url, "from") },
        _ => CloudCall::ScaleIn(parse_json::<MachineNames>(&body)?.machines),
    })
}

/// Returns status and body of the response of the cloud.
fn cloud_response(reply: CloudReply) -> (u16, Value) {
    match reply {
        CloudReply::Catalogue(catalogue) => (200, json!(catalogue)),
        CloudReply::ScaledOut(machines) => (200, json!(MachineNames { machines })),
        CloudReply::NoCapacity => (503, json!({ "error": "no capacity" })),
        CloudReply::ScaledIn => (200, json!({})),
        CloudReply::Listed(instances) => (200, json!(instances)),
    }
}
