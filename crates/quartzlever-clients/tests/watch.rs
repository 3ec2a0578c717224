//! What a client makes of the answers to its watches.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use quartzlever_clients::StoreClient;
use quartzlever_wire::store::{StoreCall, StoreReply};

/// Answers one request with this body; gives the address to ask.
fn answer_once(body: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut head = [0; 1024];
        let _ = stream.read(&mut head);
        let length = body.len();
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    });
    address
}

/// A process that has fallen far behind is told of all that it missed at once. An answer that was too
/// long to be read was asked for again, each time longer, until the store had forgotten the
/// changes: minutes in which the process knew nothing new.
#[test]
fn changes_too_many_to_read_are_listed_instead() {
    // (bytes of a value among the changes, whether the records are to be listed)
    for (bytes, listed) in [(100, false), (5 << 20, true)] {
        let value = "x".repeat(bytes);
        let log = format!(r#"[{{"write":"live/a","v":"{value}","stamp":7}}]"#);
        let address = answer_once(format!(r#"{{"epoch":7,"log":{log}}}"#));
        let call = StoreCall::Watch { from: 6, hold_ms: 100 };
        let reply = StoreClient::new(&address).call(&call).expect("it is answered");
        assert_eq!(reply == StoreReply::TooOld, listed, "{bytes} bytes: {}", listed);
        assert_eq!(matches!(reply, StoreReply::Watched(_)), !listed, "{bytes} bytes");
    }
}
