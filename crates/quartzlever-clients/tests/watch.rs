//! How the store client handles answers to watches.

mod server;

use quartzlever_clients::StoreClient;
use quartzlever_wire::store::{StoreCall, StoreReply};

use server::answer_once;

/// A watch that is far behind receives all missed changes in one answer. If the client repeated a
/// watch whose answer is too long to read, each answer would be longer than the last, and the
/// process would see no change for minutes, until the store had discarded the changes.
#[test]
fn a_watch_answer_too_long_to_read_is_reported_as_too_old() {
    // (bytes of the value in the change, whether the watch is reported as too old)
    for (bytes, too_old) in [(100, false), (5 << 20, true)] {
        let value = "x".repeat(bytes);
        let log = format!(r#"[{{"write":"live/a","v":"{value}","stamp":7}}]"#);
        let address = answer_once("200 OK", format!(r#"{{"epoch":7,"log":{log}}}"#));
        let call = StoreCall::Watch { from: 6, hold_ms: 100 };
        let reply = StoreClient::new(&address).call(&call).expect("it is answered");
        assert_eq!(reply == StoreReply::TooOld, too_old, "{bytes} bytes: {}", too_old);
        assert_eq!(matches!(reply, StoreReply::Watched(_)), !too_old, "{bytes} bytes");
    }
}
