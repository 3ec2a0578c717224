//! The stand-ins on loopback ports, each served by `tiny_http` until the process ends.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_wire::cloud::{CloudCall, CloudReply, Hire, HostNames, Rental};
use quartzlever_wire::state::{HoldAnswer, HoldRequest, StateCall, StateReply, Txn};
use quartzlever_wire::workers::{Orders, WorkerReply};
use quartzlever_wire::{CallError, Micros, SECOND};
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, Server};

use crate::{Cloud, Store, Worker};

fn micros(start: Instant) -> Micros {
    SECOND + start.elapsed().as_micros() as Micros
}

fn respond(request: Request, status: u16, body: &Value) {
    let mut response = Response::from_string(body.to_string()).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // A caller that has gone away needs no answer.
    let _ = request.respond(response);
}

fn body_of(request: &mut Request) -> Vec<u8> {
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

fn listen(handle: impl Fn(Request) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let server = Arc::new(Server::http("127.0.0.1:0").map_err(io::Error::other)?);
    let address = server.server_addr().to_ip().ok_or_else(|| io::Error::other("no address"))?;
    let handle = Arc::new(handle);
    for _ in 0..8 {
        let (server, handle) = (server.clone(), handle.clone());
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                handle(request);
            }
        });
    }
    Ok(address)
}

/// Serves a store.
pub fn serve_store(store: Arc<Mutex<Store>>, start: Instant) -> io::Result<SocketAddr> {
    listen(move |mut request| {
        let body = body_of(&mut request);
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or("").to_owned();
        let call = match (request.method(), path.as_str()) {
            (Method::Get, "/keys") => StateCall::List {
                prefix: query(&url, "under").unwrap_or_default(),
                from: query(&url, "from"),
            },
            (Method::Get, "/watch") => StateCall::Watch {
                from: query(&url, "from").and_then(|f| f.parse().ok()).unwrap_or(0),
                hold_ms: query(&url, "hold_ms").and_then(|f| f.parse().ok()).unwrap_or(0),
            },
            (Method::Get, path) => StateCall::Get(path.trim_start_matches("/keys/").to_owned()),
            (Method::Post, "/multi") => match serde_json::from_slice::<Txn>(&body) {
                Ok(txn) => StateCall::Txn(txn),
                Err(e) => return respond(request, 400, &json!({ "error": e.to_string() })),
            },
            (Method::Post, "/holds") => match serde_json::from_slice::<HoldRequest>(&body) {
                Ok(hold) => StateCall::Grant { life_ms: hold.life_ms },
                Err(e) => return respond(request, 400, &json!({ "error": e.to_string() })),
            },
            (Method::Post, path) => {
                let id = path.trim_start_matches("/holds/").trim_end_matches("/renew");
                StateCall::Renew { lease: id.parse().unwrap_or(0) }
            }
            _ => return respond(request, 400, &json!({ "error": "no such call" })),
        };
        let end = match &call {
            StateCall::Watch { hold_ms, .. } => Instant::now() + Duration::from_millis(*hold_ms),
            _ => Instant::now(),
        };
        loop {
            let Ok(mut guard) = store.lock() else { return };
            let result = guard.call(micros(start), &call);
            if let Ok(StateReply::Watched(answer)) = &result
                && answer.log.is_empty()
                && Instant::now() < end
            {
                drop(guard);
                thread::sleep(Duration::from_millis(10));
                continue;
            }
            let (status, value) = match result {
                Ok(StateReply::Row(Some(row))) => (200, json!(row)),
                Ok(StateReply::Row(None)) => (404, json!(guard.txn_answer(None))),
                Ok(StateReply::Revision(epoch)) => (404, json!({ "epoch": epoch })),
                Ok(StateReply::Rows(rows)) => (200, json!(rows)),
                Ok(StateReply::Committed(_)) => (200, json!(guard.txn_answer(None))),
                Ok(StateReply::Conflict(failed)) => (409, json!(guard.txn_answer(Some(failed)))),
                Ok(StateReply::NoLease) if path == "/multi" => {
                    (400, json!({ "error": "no such lease" }))
                }
                Ok(StateReply::NoLease) => (404, json!({})),
                Ok(StateReply::Granted(charter)) => (200, json!(HoldAnswer { charter })),
                Ok(StateReply::Renewed) => (200, json!({})),
                Ok(StateReply::Watched(answer)) => (200, json!(answer)),
                Ok(StateReply::TooOld) => (410, json!({})),
                Ok(StateReply::TooLarge) => (400, json!({ "error": "too large" })),
                Err(CallError::TooOften) => (429, json!({ "error": "too often" })),
                Err(_) => (503, json!({ "error": "trouble" })),
            };
            drop(guard);
            return respond(request, status, &value);
        }
    })
}

/// Serves a cloud whose machines report to the given controllers, which may change. Each machine
/// has threads and a port of its own, so this is for a few of them.
pub fn serve_cloud(
    cloud: Cloud,
    controllers: Arc<Mutex<Vec<SocketAddr>>>,
    lease: Micros,
    run_time: Micros,
    start: Instant,
) -> io::Result<SocketAddr> {
    let cloud = Arc::new(Mutex::new(cloud));
    let rented = cloud.clone();
    serve_rentals(
        cloud,
        |_| {},
        move |rental| {
            let worker = Worker::new(rental, lease, run_time, micros(start));
            let (controllers, cloud) = (controllers.clone(), rented.clone());
            thread::spawn(move || {
                let _ = live(worker, &controllers, &cloud, start);
            });
        },
    )
}

/// Serves a cloud; `gone` is told of each returned machine, `rented` of each new one.
pub fn serve_rentals(
    cloud: Arc<Mutex<Cloud>>,
    gone: impl Fn(&str) + Send + Sync + 'static,
    rented: impl Fn(Rental) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    listen(move |mut request| {
        let body = body_of(&mut request);
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or("").to_owned();
        let call = match path.as_str() {
            "/catalog" => CloudCall::Catalogue,
            "/rentals" if *request.method() == Method::Post => {
                match serde_json::from_slice::<Hire>(&body) {
                    Ok(hire) => CloudCall::Rent(hire),
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
            CloudReply::Rented(hosts) => (200, json!(HostNames { hosts })),
            CloudReply::NoCapacity => (503, json!({ "error": "no capacity" })),
            CloudReply::Returned => {
                if let CloudCall::Return(hosts) = &call {
                    hosts.iter().for_each(|host| gone(host));
                }
                (200, json!({}))
            }
            CloudReply::Listed(rentals) => (200, json!(rentals)),
        };
        respond(request, status, &value);
    })
}

/// The life of a worker: a port for direct commands, and a report every so often.
fn live(
    mut worker: Worker,
    controllers: &Mutex<Vec<SocketAddr>>,
    cloud: &Mutex<Cloud>,
    start: Instant,
) -> io::Result<()> {
    let name = worker.rental.name.clone();
    let shared: Arc<Mutex<Option<Worker>>> = Arc::new(Mutex::new(None));
    let inner = shared.clone();
    let address = listen(move |mut request| {
        let body = body_of(&mut request);
        let Ok(mut guard) = inner.lock() else { return };
        let Some(worker) = guard.as_mut() else { return };
        let now = micros(start);
        worker.pass(now);
        if request.url() == "/status" {
            let report = worker.report();
            drop(guard);
            return respond(request, 200, &json!(report));
        }
        let reply = serde_json::from_slice::<Orders>(&body).map(|o| worker.command(&o, now));
        drop(guard);
        match reply {
            Ok(WorkerReply::Report(report)) => respond(request, 200, &json!(report)),
            Ok(WorkerReply::Refused(report)) => respond(request, 409, &json!(report)),
            Err(_) => respond(request, 400, &json!({})),
        }
    })?;
    worker.rental.address = address.to_string();
    *shared.lock().map_err(|_| io::Error::other("lock"))? = Some(worker);
    let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(4)).build();
    let mut node = 0;
    while cloud.lock().is_ok_and(|c| c.machines.contains_key(&name)) {
        let (report, sent) = {
            let mut guard = shared.lock().map_err(|_| io::Error::other("lock"))?;
            let Some(worker) = guard.as_mut() else { return Ok(()) };
            let now = micros(start);
            worker.pass(now);
            (worker.report(), now)
        };
        let target = {
            let known = controllers.lock().map_err(|_| io::Error::other("lock"))?;
            known[node % known.len()]
        };
        let url = format!("http://{target}/hello");
        match agent.post(&url).send_string(&json!(report).to_string()) {
            Ok(response) => {
                let text = response.into_string()?;
                if let Ok(orders) = serde_json::from_str::<Orders>(&text)
                    && let Ok(mut guard) = shared.lock()
                    && let Some(worker) = guard.as_mut()
                {
                    worker.answered(&orders, sent, report.session, micros(start));
                }
            }
            Err(_) => node += 1,
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}
