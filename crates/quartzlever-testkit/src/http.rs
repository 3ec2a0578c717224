//! The fakes on loopback ports, each served by `tiny_http` until the process ends.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_wire::cloud::{CloudCall, CloudReply, HostNames, Instance, ScaleOutRequest};
use quartzlever_wire::store::{GrantAnswer, GrantRequest, StoreCall, StoreReply, Txn};
use quartzlever_wire::{CallError, Micros, SECOND};
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, Server};

use crate::{Cloud, Store};

pub(crate) fn micros(start: Instant) -> Micros {
    SECOND + start.elapsed().as_micros() as Micros
}

pub(crate) fn respond(request: Request, status: u16, body: &Value) {
    let mut response = Response::from_string(body.to_string()).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // A caller that has gone away needs no answer.
    let _ = request.respond(response);
}

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

/// Serves a store.
pub fn serve_store(store: Arc<Mutex<Store>>, start: Instant) -> io::Result<SocketAddr> {
    listen(STORE_THREADS, move |mut request| {
        let body = body_of(&mut request);
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or("").to_owned();
        let call = match (request.method(), path.as_str()) {
            (Method::Get, "/keys") => StoreCall::List {
                prefix: query(&url, "under").unwrap_or_default(),
                from: query(&url, "from"),
            },
            (Method::Get, "/watch") => StoreCall::Watch {
                from: query(&url, "from").and_then(|f| f.parse().ok()).unwrap_or(0),
                hold_ms: query(&url, "hold_ms").and_then(|f| f.parse().ok()).unwrap_or(0),
            },
            (Method::Get, path) => StoreCall::Get(path.trim_start_matches("/keys/").to_owned()),
            (Method::Post, "/multi") => match serde_json::from_slice::<Txn>(&body) {
                Ok(txn) => StoreCall::Txn(txn),
                Err(e) => return respond(request, 400, &json!({ "error": e.to_string() })),
            },
            (Method::Post, "/holds") => match serde_json::from_slice::<GrantRequest>(&body) {
                Ok(hold) => StoreCall::Grant { life_ms: hold.life_ms },
                Err(e) => return respond(request, 400, &json!({ "error": e.to_string() })),
            },
            (Method::Post, path) => {
                let id = path.trim_start_matches("/holds/").trim_end_matches("/renew");
                StoreCall::Renew { lease: id.parse().unwrap_or(0) }
            }
            _ => return respond(request, 400, &json!({ "error": "no such call" })),
        };
        let end = match &call {
            StoreCall::Watch { hold_ms, .. } => Instant::now() + Duration::from_millis(*hold_ms),
            _ => Instant::now(),
        };
        loop {
            let Ok(mut guard) = store.lock() else { return };
            let result = guard.call(micros(start), &call);
            if let Ok(StoreReply::Watched(answer)) = &result
                && (guard.watches_held || (answer.log.is_empty() && Instant::now() < end))
            {
                drop(guard);
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            let (status, value) = match result {
                Ok(StoreReply::Row(Some(row))) => (200, json!(row)),
                Ok(StoreReply::Row(None)) => (404, json!(guard.txn_answer(None))),
                Ok(StoreReply::Revision(revision)) => (404, json!({ "epoch": revision })),
                Ok(StoreReply::Rows(rows)) => (200, json!(rows)),
                Ok(StoreReply::Committed(_)) => (200, json!(guard.txn_answer(None))),
                Ok(StoreReply::Conflict(failed)) => (409, json!(guard.txn_answer(Some(failed)))),
                Ok(StoreReply::NoLease) if path == "/multi" => {
                    (400, json!({ "error": "no such lease" }))
                }
                Ok(StoreReply::NoLease) => (404, json!({})),
                Ok(StoreReply::Granted(lease_id)) => (200, json!(GrantAnswer { lease_id })),
                Ok(StoreReply::Renewed) => (200, json!({})),
                Ok(StoreReply::Watched(answer)) => (200, json!(answer)),
                Ok(StoreReply::TooOld) => (410, json!({})),
                Ok(StoreReply::TooLarge) => (400, json!({ "error": "too large" })),
                Err(CallError::TooOften) => (429, json!({ "error": "too often" })),
                Err(_) => (503, json!({ "error": "trouble" })),
            };
            drop(guard);
            return respond(request, status, &value);
        }
    })
}

/// Serves a cloud; `gone` is told of each returned machine, `rented` of each new one.
pub fn serve_rentals(
    cloud: Arc<Mutex<Cloud>>,
    gone: impl Fn(&str) + Send + Sync + 'static,
    rented: impl Fn(Instance) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    listen(CLOUD_THREADS, move |mut request| {
        let body = body_of(&mut request);
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or("").to_owned();
        let call = match path.as_str() {
            "/catalog" => CloudCall::Catalogue,
            "/rentals" if *request.method() == Method::Post => {
                match serde_json::from_slice::<ScaleOutRequest>(&body) {
                    Ok(request) => CloudCall::ScaleOut(request),
                    Err(e) => return respond(request, 400, &json!({ "error": e.to_string() })),
                }
            }
            "/rentals" => CloudCall::List { from: query(&url, "from") },
            _ => match serde_json::from_slice::<HostNames>(&body) {
                Ok(names) => CloudCall::Return(names.hosts),
                Err(e) => return respond(request, 400, &json!({ "error": e.to_string() })),
            },
        };
        let Ok(mut guard) = cloud.lock() else { return };
        let before: BTreeSet<String> = guard.machines.keys().cloned().collect();
        let reply = guard.call(&call);
        let new: Vec<_> =
            guard.machines.values().filter(|m| !before.contains(&m.name)).cloned().collect();
        drop(guard);
        new.into_iter().for_each(&rented);
        let (status, value) = match reply {
            CloudReply::Catalogue(catalogue) => (200, json!(catalogue)),
            CloudReply::ScaledOut(hosts) => (200, json!(HostNames { hosts })),
            CloudReply::NoCapacity => (503, json!({ "error": "no capacity" })),
            CloudReply::ScaledIn => {
                if let CloudCall::Return(hosts) = &call {
                    hosts.iter().for_each(|host| gone(host));
                }
                (200, json!({}))
            }
            CloudReply::Listed(instances) => (200, json!(instances)),
        };
        respond(request, status, &value);
    })
}
