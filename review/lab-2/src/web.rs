//! A small JSON server and client on loopback addresses.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use tiny_http::{Response, Server};

/// Serves requests on a free loopback port with `threads` threads, and returns the address.
pub fn serve(
    threads: usize,
    handle: impl Fn(&str, &str, &str) -> (u16, Value) + Send + Sync + 'static,
) -> String {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
    let address = server.server_addr().to_ip().expect("an address").to_string();
    let handle = Arc::new(handle);
    for _ in 0..threads {
        let (server, handle) = (server.clone(), handle.clone());
        thread::spawn(move || {
            while let Ok(mut request) = server.recv() {
                let mut body = String::new();
                let _ = request.as_reader().read_to_string(&mut body);
                let (method, url) = (request.method().to_string(), request.url().to_owned());
                let (status, answer) = handle(&method, &url, &body);
                let _ = request
                    .respond(Response::from_string(answer.to_string()).with_status_code(status));
            }
        });
    }
    address
}

/// Sends a request; returns the status, 0 without an answer, and the JSON body.
pub fn call(method: &str, url: &str, body: Option<&str>, timeout: Duration) -> (u16, Value) {
    let request = ureq::request(method, url).timeout(timeout);
    let result = match body {
        Some(body) => request.set("Content-Type", "application/json").send_string(body),
        None => request.call(),
    };
    match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => {
            let status = response.status();
            let text = response.into_string().unwrap_or_default();
            (status, serde_json::from_str(&text).unwrap_or(Value::Null))
        }
        Err(_) => (0, Value::Null),
    }
}
