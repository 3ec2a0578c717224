//! How the store client handles answers to watches.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use quartzlever_clients::StoreClient;
use quartzlever_wire::store::{StoreCall, StoreReply};

/// Starts a server that answers one request with this body, and returns its address.
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

/// A watch that is far behind receives all missed changes in one answer. If the client repeated a
/// watch whose answer is too long to read, each answer would be longer than the last, and the
/// process would see no change for minutes, until the store had discarded the changes.
#[test]
fn a_watch_answer_too_long_to_read_is_reported_as_too_old() {
    // (bytes of the value in the change, whether the watch is reported as too old)
    for (bytes, too_old) in [(100, false), (5 << 20, true)] {
        let value = "x".repeat(bytes);
        let log = format!(r#"[{{"write":"live/a","v":"{value}","stamp":7}}]"#);
        let address = answer_once(format!(r#"{{"epoch":7,"log":{log}}}"#));
        let call = StoreCall::Watch { from: 6, hold_ms: 100 };
        let reply = StoreClient::new(&address).call(&call).expect("it is answered");
        assert_eq!(reply == StoreReply::TooOld, too_old, "{bytes} bytes: {}", too_old);
        assert_eq!(matches!(reply, StoreReply::Watched(_)), !too_old, "{bytes} bytes");
    }
}
