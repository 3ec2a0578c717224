//! What is read, what is refused, and what our records look like.

use quartzlever_wire::pages::{PAGE_TASKS, PageRecord, page_key, page_of_key};
use quartzlever_wire::peers::{self, PeerRequest};
use quartzlever_wire::store::{ActiveJobRecord, Share};
use quartzlever_wire::users::{BadJob, JobSpec};
use quartzlever_wire::workers::Heartbeat;
use quartzlever_wire::{Json, MAX_BODY, Ranges};
use serde_json::{Value, json};

fn submission() -> Value {
    json!({
        "ref": "req-000412", "jobclass": "train", "owner": "vision", "shape": "batch",
        "rank": "urgent", "shards": 16, "cpus": 8.0, "gpus": 1, "ram_gb": 64.0,
        "bundle": "img-07", "size_gb": 6.2, "chassis": ["g8"], "bay": null, "together": true,
        "apart": false, "loaners": true, "expect_s": 240.0, "snapshot_s": 30.0, "flush_s": 4.0,
        "due_s": 900.0, "some_new_field": {"a": 1}
    })
}

#[test]
fn submissions_are_read_or_refused() {
    let json_error = BadJob::Json(String::new());
    // (what is changed, its new value or none, the kind of refusal)
    let cases: &[(&str, Option<Value>, Option<BadJob>)] = &[
        ("ref", Some(json!("req-1")), None),
        ("chassis", None, None),
        ("bay", None, None),
        ("due_s", None, None),
        ("due_s", Some(Value::Null), None),
        ("cpus", Some(json!(0.0)), None),
        ("cpus", Some(json!(4)), None),
        ("shards", Some(json!(100_000)), None),
        ("ref", Some(json!("job-1")), Some(BadJob::Id)),
        ("ref", Some(json!("req-")), Some(BadJob::Id)),
        ("ref", Some(json!("req-1/2")), Some(BadJob::Id)),
        ("shards", Some(json!(0)), Some(BadJob::Tasks)),
        ("shards", Some(json!(100_001)), Some(BadJob::Tasks)),
        ("cpus", Some(json!(-1.0)), Some(BadJob::Amount("cpus"))),
        ("due_s", Some(json!(-1.0)), Some(BadJob::Amount("due_s"))),
        ("shards", Some(json!(1.5)), Some(json_error.clone_kind())),
        ("shards", Some(json!(-1)), Some(json_error.clone_kind())),
        ("cpus", Some(json!("8")), Some(json_error.clone_kind())),
        ("rank", Some(json!("highest")), Some(json_error.clone_kind())),
        ("shape", Some(json!("gang")), Some(json_error.clone_kind())),
        ("together", Some(Value::Null), Some(json_error.clone_kind())),
        ("owner", None, Some(json_error.clone_kind())),
        ("loaners", None, Some(json_error.clone_kind())),
        ("ram_gb", None, Some(json_error.clone_kind())),
    ];
    for (field, value, refusal) in cases {
        let mut body = submission();
        match value {
            Some(value) => body[*field] = value.clone(),
            None => drop(body.as_object_mut().expect("object").remove(*field)),
        }
        let result = JobSpec::parse(body.to_string().as_bytes()).err();
        assert_eq!(result.map(|e| e.clone_kind()), *refusal, "{field} = {value:?}");
    }
    let long = format!("{{\"ref\":\"{}\"}}", "x".repeat(MAX_BODY));
    for (text, refusal) in [
        ("", json_error.clone_kind()),
        ("[]", json_error.clone_kind()),
        ("[\"req-1\"]", json_error.clone_kind()),
        ("null", json_error.clone_kind()),
        ("{\"ref\":\"req-1\",\"cpus\":1e999}", json_error.clone_kind()),
        (long.as_str(), BadJob::TooLong),
    ] {
        let result = JobSpec::parse(text.as_bytes()).err();
        assert_eq!(result.map(|e| e.clone_kind()), Some(refusal), "{:.40}", text);
    }
}

/// A service is a submission like any other, but that it has no end: what it says of one is dropped.
#[test]
fn services_are_read_or_refused() {
    let json_error = BadJob::Json(String::new());
    // (what is changed, its new value or none, the kind of refusal)
    let cases: &[(&str, Option<Value>, Option<BadJob>)] = &[
        ("due_s", None, None),
        ("expect_s", Some(json!(7.5)), None),
        ("shards", Some(json!(1)), None),
        ("shape", Some(json!("demon")), Some(json_error.clone_kind())),
        ("shape", None, Some(json_error.clone_kind())),
        ("shards", Some(json!(0)), Some(BadJob::Tasks)),
        ("shards", Some(json!(100_001)), Some(BadJob::Tasks)),
        ("cpus", Some(json!(-0.5)), Some(BadJob::Amount("cpus"))),
        ("ram_gb", Some(json!(-1)), Some(BadJob::Amount("ram_gb"))),
        ("expect_s", Some(json!(-1.0)), Some(BadJob::Amount("expect_s"))),
        ("expect_s", None, Some(json_error.clone_kind())),
        ("apart", None, Some(json_error.clone_kind())),
        ("bundle", None, Some(json_error.clone_kind())),
    ];
    for (field, value, refusal) in cases {
        let mut body = submission();
        (body["shape"], body["expect_s"]) = (json!("daemon"), json!(0));
        match value {
            Some(value) => body[*field] = value.clone(),
            None => drop(body.as_object_mut().expect("object").remove(*field)),
        }
        let result = JobSpec::parse(body.to_string().as_bytes());
        if let Ok(spec) = &result {
            assert!(spec.is_service(), "{field} = {value:?}");
            assert_eq!((spec.expect_s, spec.due_s), (0.0, None), "{field} = {value:?}");
        }
        assert_eq!(result.err().map(|e| e.clone_kind()), *refusal, "{field} = {value:?}");
    }
    // Numbers beyond all bounds.
    let text = submission().to_string().replace("\"cpus\":8.0", "\"cpus\":1e999");
    assert_ne!(text, submission().to_string());
    assert!(JobSpec::parse(text.as_bytes()).is_err());
}

/// The kind of a refusal, without the parser's words.
trait Kind {
    fn clone_kind(&self) -> BadJob;
}

impl Kind for BadJob {
    fn clone_kind(&self) -> BadJob {
        match self {
            BadJob::TooLong => BadJob::TooLong,
            BadJob::Json(_) => BadJob::Json(String::new()),
            BadJob::Id => BadJob::Id,
            BadJob::Tasks => BadJob::Tasks,
            BadJob::Amount(name) => BadJob::Amount(name),
        }
    }
}

#[test]
fn reports_are_read_or_refused() {
    let task = json!({"shard": "req-000412/3", "try": 2, "phase": "running"});
    let heartbeat = |tasks: Value| {
        json!({"host": "n-1", "address": "10.1.0.1:9000", "frame": "g8", "bay": "a",
            "loaners": true, "tenure": 1, "tick": 88, "baton": 41, "shards": tasks})
    };
    for (name, value, fine) in [
        ("no tasks", heartbeat(json!([])), true),
        ("a running task", heartbeat(json!([task])), true),
        (
            "an exited one, with a cause of the future",
            heartbeat(
                json!([{"shard": "req-1/0", "try": 1, "phase": "exited", "cause": "boredom"}]),
            ),
            true,
        ),
        (
            "an exited one without cause",
            heartbeat(json!([{"shard": "req-1/0", "try": 1, "phase": "exited"}])),
            false,
        ),
        (
            "a task without number",
            heartbeat(json!([{"shard": "req-1", "try": 1, "phase": "running"}])),
            false,
        ),
        ("not a list", heartbeat(json!(7)), false),
        ("nothing", json!({}), false),
        ("a host that is no name", json!({"host": "a/b"}), false),
    ] {
        assert_eq!(Heartbeat::parse(value.to_string().as_bytes()).is_some(), fine, "{name}");
    }
}

#[test]
fn ranges_keep_their_text_short() {
    for (text, len, again) in [
        ("", 0, ""),
        ("0-4,7,9-20", 18, "0-4,7,9-20"),
        ("3,4,5", 3, "3-5"),
        ("9-20,0-8", 21, "0-20"),
    ] {
        let ranges: Ranges = text.parse().expect(text);
        assert_eq!((ranges.len(), ranges.to_string().as_str()), (len, again));
    }
    for text in ["a", "5-3", "-", "1-4294967295"] {
        assert!(text.parse::<Ranges>().is_err(), "{text}");
    }
    let mut ranges: Ranges = "0-4,7,9-20".parse().expect("ranges");
    assert_eq!(ranges.cut_last(14).to_string(), "4,7,9-20");
    assert_eq!(ranges.to_string(), "0-3");
}

#[test]
fn moving_tasks_keeps_every_task_in_one_share() {
    let spec: JobSpec = serde_json::from_value(submission()).expect("spec");
    let share = |partition: &str, term, tasks: &str| Share {
        partition: partition.into(),
        term,
        tasks: tasks.parse().expect("ranges"),
    };
    let mut record = ActiveJobRecord::new(spec, 0, vec![share("one", 5, "0-15")]);
    record.finished = "0-1".parse().expect("ranges");
    // (moved, from, to, its term, shares after)
    let steps = [
        ("8-15", "one", "two", 7, vec![share("one", 5, "0-7"), share("two", 7, "8-15")]),
        (
            "12-15",
            "two",
            "one",
            9,
            vec![share("one", 5, "0-7"), share("two", 7, "8-11"), share("one", 9, "12-15")],
        ),
        ("8-11", "two", "one", 9, vec![share("one", 5, "0-7"), share("one", 9, "8-15")]),
    ];
    for (tasks, from, to, term, after) in steps {
        record.move_tasks(&tasks.parse().expect("ranges"), from, to, term);
        assert_eq!(record.shares, after);
    }
    assert_eq!(record.owned_by("one").to_string(), "2-15");
    assert_eq!(record.entered_under("one", 9).to_string(), "8-15");
}

#[test]
fn peers_messages_are_framed() {
    let request = PeerRequest::ScaledOut { partition: "one".into(), machines: vec!["n-1".into()] };
    let mut frame = Vec::new();
    peers::send(&mut frame, &request).expect("a frame");
    assert_eq!(peers::receive::<PeerRequest>(&mut frame.as_slice()).expect("a message"), request);
    for (name, bytes) in [
        ("nothing", vec![]),
        ("half a frame", frame[..frame.len() - 1].to_vec()),
        ("a frame that is too long", vec![255, 255, 255, 255, 0]),
        ("noise", vec![0, 0, 0, 4, 255, 255, 255, 255]),
    ] {
        assert!(peers::receive::<PeerRequest>(&mut bytes.as_slice()).is_err(), "{name}");
    }
}

#[test]
fn machines_share_keys_and_earlier_records_are_read() {
    use quartzlever_wire::store::{large_group_key, machine_records_in};
    for (machine, key) in [
        ("n-000000", "hosts/n-~0"),
        ("n-000063", "hosts/n-~0"),
        ("n-000064", "hosts/n-~1"),
        ("rack", "hosts/rack~"),
        ("n-99999999999999999999999", "hosts/n-99999999999999999999999~"),
    ] {
        assert_eq!(large_group_key(machine), key, "{machine}");
    }
    let earlier = json!({"part":"one","address":"a:1","kind":"m","zone":"z","spot":true});
    let block = json!({"m":{"n-1":["one","a:1","m","z",true],"n-2":["two","b:1","m","z",false]}});
    for (name, path, value, machines) in [
        ("one machine, as earlier versions wrote it", "hosts/n-1", earlier, Some(1)),
        ("a block", "hosts/n-~0", block, Some(2)),
        ("neither", "hosts/n-~0", json!([1, 2]), None),
        ("a piece of one", "hosts/n-1", json!({"part":"one"}), None),
    ] {
        let found = machine_records_in(path, &Json::of(&value));
        assert_eq!(found.as_ref().map(|h| h.len()), machines, "{name}");
        if let Some(found) = found {
            assert_eq!(found["n-1"].partition, "one", "{name}");
        }
    }
}

/// A page takes a bounded number of bytes in whatever order its tasks finish.
#[test]
fn pages_hold_their_tasks_in_few_bytes() {
    let alternating = |first: u32| (0..PAGE_TASKS).filter(|n| n % 2 == first).collect::<Ranges>();
    for (name, page, finished, within) in [
        ("none", 0, Ranges::default(), 20),
        ("the first", 0, Ranges::of(0..1), 20),
        ("all", 0, Ranges::of(0..PAGE_TASKS), 280),
        ("every second", 0, alternating(0), 280),
        ("the others", 0, alternating(1), 280),
        ("a later page", 3, Ranges::of(3 * PAGE_TASKS + 5..4 * PAGE_TASKS), 280),
    ] {
        let record = PageRecord::new(page, &finished);
        let text = serde_json::to_string(&record).expect("JSON");
        assert!(text.len() <= within, "{name}: {} bytes", text.len());
        let read: PageRecord = serde_json::from_str(&text).expect("a page");
        assert_eq!(read.tasks(page), Some(finished), "{name}");
    }
    // Of a larger set only the page's own tasks are taken.
    let tasks = PageRecord::new(1, &Ranges::of(0..5 * PAGE_TASKS)).tasks(1);
    assert_eq!(tasks, Some(Ranges::of(PAGE_TASKS..2 * PAGE_TASKS)));
    for text in
        [r#"{"finished":"xyz"}"#.to_owned(), format!("{{\"finished\":\"{}\"}}", "f".repeat(257))]
    {
        let record: PageRecord = serde_json::from_str(&text).expect("a text");
        assert_eq!(record.tasks(0), None, "{text:.40}");
    }
    for (key, page) in [
        ("pages/req-1/7", Some(("req-1", 7))),
        ("pages/req-1/x", None),
        ("pages/req-1", None),
        ("live/req-1/7", None),
    ] {
        assert_eq!(page_of_key(key), page, "{key}");
    }
    assert_eq!(page_of_key(&page_key("req-1", 7)), Some(("req-1", 7)));
}
