//! A server that answers one request.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

/// Starts a server that answers one request with this status line and body, and returns its
/// address.
pub fn answer_once(status: &'static str, body: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut head = [0; 1024];
        let _ = stream.read(&mut head);
        let length = body.len();
        let _ = write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
    });
    address
}
