//! How the store client handles answers to reads of a key.

mod server;

use quartzlever_clients::StoreClient;
use quartzlever_wire::CallError;
use quartzlever_wire::store::{StoreCall, StoreReply};

use server::answer_once;

/// Without the revision of a read, nobody can tell whether the key was absent before or after a
/// change that is already known.
#[test]
fn a_read_of_an_absent_key_returns_the_revision_of_the_read() {
    for (status, body, expected) in [
        ("404 Not Found", r#"{"epoch":431}"#, Ok(StoreReply::Absent { revision: 431 })),
        ("404 Not Found", "no such page", Err(CallError::Unknown)),
    ] {
        let address = answer_once(status, body.to_owned());
        let reply = StoreClient::new(&address).call(&StoreCall::Get("hosts/n-~0".into()));
        assert_eq!(reply, expected, "{body}");
    }
}
