//! A cloud stand-in: rents machines of given types, starts a worker for each, and ends it when the machine is returned.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::lab::Lab;
use crate::web;
use crate::worker::Worker;

/// A machine type of the catalogue.
#[derive(Clone)]
pub struct Type {
    pub name: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub ready_s: f64,
    pub zones: Vec<&'static str>,
    pub hourly: f64,
    pub market_price: f64,
}

struct Rented {
    frame: String,
    bay: String,
    loaners: bool,
    at: Instant,
    worker: Option<Arc<Worker>>,
    returned: bool,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Rented>,
    hires: BTreeMap<String, Vec<String>>,
}

/// The cloud. `capacity` gives how many machines exist for a type, a zone and a kind; missing entries have none.
pub struct Cloud {
    lab: Arc<Lab>,
    types: Vec<Type>,
    capacity: BTreeMap<(String, String, bool), usize>,
    state: Mutex<State>,
}

impl Cloud {
    pub fn start(
        lab: Arc<Lab>,
        types: Vec<Type>,
        capacity: &[(&str, &str, bool, usize)],
    ) -> (Arc<Cloud>, String) {
        let capacity =
            capacity.iter().map(|(t, z, s, n)| ((t.to_string(), z.to_string(), *s), *n)).collect();
        let cloud = Arc::new(Cloud { lab, types, capacity, state: Mutex::default() });
        let served = cloud.clone();
        let address =
            web::serve(4, move |method, url, body| served.clone().answer(method, url, body));
        (cloud, address)
    }

    /// The workers of the machines that are up.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.state.lock().unwrap().machines.values().filter_map(|m| m.worker.clone()).collect()
    }

    fn answer(self: Arc<Self>, method: &str, url: &str, body: &str) -> (u16, Value) {
        let path = url.split('?').next().unwrap_or("");
        match (method, path) {
            ("GET", "/catalog") => (200, self.catalog()),
            ("POST", "/rentals") => self.rent(serde_json::from_str(body).unwrap_or_default()),
            ("POST", "/rentals/return") => {
                self.take_back(serde_json::from_str(body).unwrap_or_default())
            }
            ("GET", "/rentals") => (200, self.list(url)),
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn catalog(&self) -> Value {
        let types: Vec<Value> = self
            .types
            .iter()
            .map(|t| {
                json!({"name": t.name, "cpus": t.cpus, "gpus": 0.0, "ram_gb": t.ram_gb, "local_gb": 70.0,
                    "pull_gb_per_s": 0.5, "hourly": t.hourly, "market_price": t.market_price,
                    "ready_s": t.ready_s, "bays": t.zones})
            })
            .collect();
        json!({"chassis": types})
    }

    fn rent(self: Arc<Self>, request: Value) -> (u16, Value) {
        let text = |field: &str| request[field].as_str().unwrap_or_default().to_owned();
        let (hire, frame, bay) = (text("hire"), text("frame"), text("bay"));
        let loaners = request["loaners"].as_bool().unwrap_or(false);
        let number = request["number"].as_u64().unwrap_or(0) as usize;
        let mut state = self.state.lock().unwrap();
        if let Some(hosts) = state.hires.get(&hire) {
            return (200, json!({"hosts": hosts}));
        }
        let used = state
            .machines
            .values()
            .filter(|m| !m.returned && m.frame == frame && m.bay == bay && m.loaners == loaners)
            .count();
        let total = self.capacity.get(&(frame.clone(), bay.clone(), loaners)).copied().unwrap_or(0);
        let count = number.min(total.saturating_sub(used)).min(50);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut hosts = Vec::new();
        for _ in 0..count {
            let name = format!("n-{:06}", state.machines.len() + 1);
            let rented = Rented {
                frame: frame.clone(),
                bay: bay.clone(),
                loaners,
                at: Instant::now(),
                worker: None,
                returned: false,
            };
            state.machines.insert(name.clone(), rented);
            self.lab.note(&format!(
                "cloud: {name} rented ({frame}, {bay}, loaners {loaners}) for {hire}"
            ));
            let (cloud, machine) = (self.clone(), name.clone());
            thread::spawn(move || cloud.boot(&machine));
            hosts.push(name);
        }
        state.hires.insert(hire, hosts.clone());
        (200, json!({"hosts": hosts}))
    }

    fn boot(&self, name: &str) {
        let frame = self.state.lock().unwrap().machines[name].frame.clone();
        let kind = self.types.iter().find(|t| t.name == frame).cloned().expect("a known type");
        thread::sleep(Duration::from_secs_f64(kind.ready_s));
        let mut state = self.state.lock().unwrap();
        let Some(machine) = state.machines.get_mut(name).filter(|m| !m.returned) else { return };
        let worker = Worker::start(self.lab.clone(), name, &kind, &machine.bay, machine.loaners);
        machine.worker = Some(worker);
    }

    fn take_back(&self, request: Value) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        for host in request["hosts"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if let Some(machine) = state.machines.get_mut(host).filter(|m| !m.returned) {
                machine.returned = true;
                let lost = machine.worker.take().map_or(0, |worker| worker.end());
                self.lab.note(&format!(
                    "cloud: {host} returned by the controllers with {lost} tasks on it"
                ));
            }
        }
        (200, json!({}))
    }

    fn list(&self, url: &str) -> Value {
        let from = url.split(['?', '&']).find_map(|f| f.strip_prefix("from=")).unwrap_or("");
        let lag = Duration::from_secs_f64(self.lab.site.list_lag_s);
        let state = self.state.lock().unwrap();
        let hosts: Vec<Value> = state
            .machines
            .iter()
            .filter(|(name, m)| name.as_str() > from && !m.returned && m.at.elapsed() > lag)
            .map(|(name, m)| {
                let address = m.worker.as_ref().map_or(String::new(), |w| w.address());
                json!({"ref": name, "address": address, "frame": m.frame, "bay": m.bay, "loaners": m.loaners,
                    "phase": if m.worker.is_some() { "running" } else { "starting" },
                    "held_s": (m.at.elapsed() - lag).as_secs_f64()})
            })
            .collect();
        json!({"hosts": hosts, "has_next": false})
    }
}
