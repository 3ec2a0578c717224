//! Tests of the formats: which input is accepted or refused, and the form and length of records.

use quartzlever_wire::pages::{PAGE_TASKS, PageRecord, page_key, page_of_key};
use quartzlever_wire::peers::{self, PeerRequest};
use quartzlever_wire::store::{ActiveJobRecord, Share};
use quartzlever_wire::users::{JobSpec, SubmissionError};
use quartzlever_wire::workers::{Heartbeat, TaskId};
use quartzlever_wire::{Json, MAX_BODY, Ranges};
use serde_json::{Value, json};

/// Returns a valid submission with every field and one that this version does not know.
fn submission() -> Value {
    json!({
        "ref": "req-000412", "jobclass": "train", "owner": "vision", "shape": "batch",
        "rank": "urgent", "shards": 16, "cpus": 8.0, "gpus": 1, "ram_gb": 64.0,
        "bundle": "img-07", "size_gb": 6.2, "chassis": ["g8"], "bay": null, "together": true,
        "apart": false, "loaners": true, "expect_s": 240.0, "snapshot_s": 30.0, "flush_s": 4.0,
        "due_s": 900.0, "some_new_field": {"a": 1}
    })
}

/// An unknown field is ignored and an optional one may be absent. Any other fault must be refused
/// with its kind, as must a submission that is too long or not a JSON object.
#[test]
fn a_malformed_submission_is_refused() {
    let json_error = SubmissionError::Json(String::new());
    // (changed field, its new value or `None` to remove it, the kind of the error if it is refused)
    let cases: &[(&str, Option<Value>, Option<SubmissionError>)] = &[
        ("ref", Some(json!("req-1")), None),
        ("chassis", None, None),
        ("bay", None, None),
        ("due_s", None, None),
        ("due_s", Some(Value::Null), None),
        ("cpus", Some(json!(0.0)), None),
        ("cpus", Some(json!(4)), None),
        ("shards", Some(json!(100_000)), None),
        ("ref", Some(json!("job-1")), Some(SubmissionError::Id)),
        ("ref", Some(json!("req-")), Some(SubmissionError::Id)),
        ("ref", Some(json!("req-1/2")), Some(SubmissionError::Id)),
        ("shards", Some(json!(0)), Some(SubmissionError::Tasks)),
        ("shards", Some(json!(100_001)), Some(SubmissionError::Tasks)),
        ("cpus", Some(json!(-1.0)), Some(SubmissionError::Amount("cpus"))),
        ("due_s", Some(json!(-1.0)), Some(SubmissionError::Amount("due_s"))),
        ("shards", Some(json!(1.5)), Some(json_error.without_message())),
        ("shards", Some(json!(-1)), Some(json_error.without_message())),
        ("cpus", Some(json!("8")), Some(json_error.without_message())),
        ("rank", Some(json!("highest")), Some(json_error.without_message())),
        ("shape", Some(json!("gang")), Some(json_error.without_message())),
        ("together", Some(Value::Null), Some(json_error.without_message())),
        ("owner", None, Some(json_error.without_message())),
        ("loaners", None, Some(json_error.without_message())),
        ("ram_gb", None, Some(json_error.without_message())),
    ];
    for (field, value, refusal) in cases {
        let mut body = submission();
        match value {
            Some(value) => body[*field] = value.clone(),
            None => drop(body.as_object_mut().expect("object").remove(*field)),
        }
        let result = JobSpec::parse(body.to_string().as_bytes()).err();
        assert_eq!(result.map(|e| e.without_message()), *refusal, "{field} = {value:?}");
    }
    let long = format!("{{\"ref\":\"{}\"}}", "x".repeat(MAX_BODY));
    for (text, refusal) in [
        ("", json_error.without_message()),
        ("[]", json_error.without_message()),
        ("[\"req-1\"]", json_error.without_message()),
        ("null", json_error.without_message()),
        ("{\"ref\":\"req-1\",\"cpus\":1e999}", json_error.without_message()),
        (long.as_str(), SubmissionError::TooLong),
    ] {
        let result = JobSpec::parse(text.as_bytes()).err();
        assert_eq!(result.map(|e| e.without_message()), Some(refusal), "{:.40}", text);
    }
}

/// A service is validated like any other submission. As it does not end, its expected run time and
/// its deadline are dropped.
#[test]
fn a_service_is_validated_and_has_neither_run_time_nor_deadline() {
    let json_error = SubmissionError::Json(String::new());
    // (changed field, its new value or `None` to remove it, the kind of the error if it is refused)
    let cases: &[(&str, Option<Value>, Option<SubmissionError>)] = &[
        ("due_s", None, None),
        ("expect_s", Some(json!(7.5)), None),
        ("shards", Some(json!(1)), None),
        ("shape", Some(json!("demon")), Some(json_error.without_message())),
        ("shape", None, Some(json_error.without_message())),
        ("shards", Some(json!(0)), Some(SubmissionError::Tasks)),
        ("shards", Some(json!(100_001)), Some(SubmissionError::Tasks)),
        ("cpus", Some(json!(-0.5)), Some(SubmissionError::Amount("cpus"))),
        ("ram_gb", Some(json!(-1)), Some(SubmissionError::Amount("ram_gb"))),
        ("expect_s", Some(json!(-1.0)), Some(SubmissionError::Amount("expect_s"))),
        ("expect_s", None, Some(json_error.without_message())),
        ("apart", None, Some(json_error.without_message())),
        ("bundle", None, Some(json_error.without_message())),
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
        assert_eq!(result.err().map(|e| e.without_message()), *refusal, "{field} = {value:?}");
    }
    // A number that is not finite.
    let text = submission().to_string().replace("\"cpus\":8.0", "\"cpus\":1e999");
    assert_ne!(text, submission().to_string());
    assert!(JobSpec::parse(text.as_bytes()).is_err());
}

/// Drops the parser's message from an error, so that errors compare by their kind.
trait WithoutMessage {
    fn without_message(&self) -> SubmissionError;
}

impl WithoutMessage for SubmissionError {
    fn without_message(&self) -> SubmissionError {
        match self {
            SubmissionError::TooLong => SubmissionError::TooLong,
            SubmissionError::Json(_) => SubmissionError::Json(String::new()),
            SubmissionError::Id => SubmissionError::Id,
            SubmissionError::Tasks => SubmissionError::Tasks,
            SubmissionError::Amount(name) => SubmissionError::Amount(name),
        }
    }
}

/// A heartbeat with a cause of a later version must be accepted. One whose machine name, tasks or
/// causes are malformed must be refused.
#[test]
fn a_malformed_heartbeat_is_refused() {
    let task = json!({"shard": "req-000412/3", "try": 2, "phase": "running"});
    let heartbeat = |tasks: Value| {
        json!({"host": "n-1", "address": "10.1.0.1:9000", "frame": "g8", "bay": "a",
            "loaners": true, "tenure": 1, "tick": 88, "baton": 41, "shards": tasks})
    };
    for (name, value, valid) in [
        ("no tasks", heartbeat(json!([])), true),
        ("a running task", heartbeat(json!([task])), true),
        (
            "an exited task with a cause that a later version added",
            heartbeat(
                json!([{"shard": "req-1/0", "try": 1, "phase": "exited", "cause": "boredom"}]),
            ),
            true,
        ),
        (
            "an exited task without a cause",
            heartbeat(json!([{"shard": "req-1/0", "try": 1, "phase": "exited"}])),
            false,
        ),
        (
            "a task id without a number",
            heartbeat(json!([{"shard": "req-1", "try": 1, "phase": "running"}])),
            false,
        ),
        ("tasks that are not a list", heartbeat(json!(7)), false),
        ("an empty object", json!({}), false),
        ("a machine name with a slash", json!({"host": "a/b"}), false),
    ] {
        assert_eq!(Heartbeat::parse(value.to_string().as_bytes()).is_some(), valid, "{name}");
    }
}

#[test]
fn ranges_are_parsed_and_written_as_the_shortest_list() {
    for (text, len, written) in [
        ("", 0, ""),
        ("0-4,7,9-20", 18, "0-4,7,9-20"),
        ("3,4,5", 3, "3-5"),
        ("9-20,0-8", 21, "0-20"),
    ] {
        let ranges: Ranges = text.parse().expect(text);
        assert_eq!((ranges.len(), ranges.to_string().as_str()), (len, written));
    }
    for text in ["a", "5-3", "-", "1-4294967295"] {
        assert!(text.parse::<Ranges>().is_err(), "{text}");
    }
    let mut ranges: Ranges = "0-4,7,9-20".parse().expect("ranges");
    assert_eq!(ranges.split_off_last(14).to_string(), "4,7,9-20");
    assert_eq!(ranges.to_string(), "0-3");
}

#[test]
fn moved_tasks_belong_to_exactly_one_share() {
    let spec: JobSpec = serde_json::from_value(submission()).expect("spec");
    let share = |partition: &str, term, tasks: &str| Share {
        partition: partition.into(),
        term,
        tasks: tasks.parse().expect("ranges"),
    };
    let mut record = ActiveJobRecord::new(spec, 0, vec![share("one", 5, "0-15")]);
    record.finished = "0-1".parse().expect("ranges");
    // (tasks, from, to, term of the latter, shares after the move)
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
    assert_eq!(record.unfinished_tasks_of("one").to_string(), "2-15");
    assert_eq!(record.tasks_assigned_under("one", 9).to_string(), "8-15");
}

#[test]
fn a_peer_message_is_read_back_and_a_bad_frame_is_refused() {
    let request = PeerRequest::ScaledOut { partition: "one".into(), machines: vec!["n-1".into()] };
    let mut frame = Vec::new();
    peers::send(&mut frame, &request).expect("a frame");
    assert_eq!(peers::receive::<PeerRequest>(&mut frame.as_slice()).expect("a message"), request);
    for (name, bytes) in [
        ("no bytes", vec![]),
        ("a truncated frame", frame[..frame.len() - 1].to_vec()),
        ("a frame above the limit", vec![255, 255, 255, 255, 0]),
        ("a message that does not parse", vec![0, 0, 0, 4, 255, 255, 255, 255]),
    ] {
        assert!(peers::receive::<PeerRequest>(&mut bytes.as_slice()).is_err(), "{name}");
    }
}

#[test]
fn machines_are_grouped_by_number_and_single_machine_records_are_read() {
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
    let single = json!({"part":"one","address":"a:1","kind":"m","zone":"z","spot":true});
    let group = json!({"m":{"n-1":["one","a:1","m","z",true],"n-2":["two","b:1","m","z",false]}});
    for (name, path, value, machines) in [
        ("a single machine, as earlier versions wrote it", "hosts/n-1", single, Some(1)),
        ("a group", "hosts/n-~0", group, Some(2)),
        ("neither format", "hosts/n-~0", json!([1, 2]), None),
        ("an incomplete single machine", "hosts/n-1", json!({"part":"one"}), None),
    ] {
        let found = machine_records_in(path, &Json::of(&value));
        assert_eq!(found.as_ref().map(|m| m.len()), machines, "{name}");
        if let Some(found) = found {
            assert_eq!(found["n-1"].partition, "one", "{name}");
        }
    }
}

/// A list of ranges grows with each gap between finished tasks and can exceed the limit on values.
/// A page's length must be bounded in whatever order its tasks finish.
#[test]
fn the_length_of_a_page_is_bounded_in_any_order_of_finished_tasks() {
    let every_second = |first: u32| (0..PAGE_TASKS).filter(|n| n % 2 == first).collect::<Ranges>();
    for (name, page, finished, max_bytes) in [
        ("no task", 0, Ranges::default(), 20),
        ("the first task", 0, Ranges::from_range(0..1), 20),
        ("all tasks", 0, Ranges::from_range(0..PAGE_TASKS), 280),
        ("every even task", 0, every_second(0), 280),
        ("every odd task", 0, every_second(1), 280),
        (
            "most tasks of a later page",
            3,
            Ranges::from_range(3 * PAGE_TASKS + 5..4 * PAGE_TASKS),
            280,
        ),
    ] {
        let record = PageRecord::new(page, &finished);
        let text = serde_json::to_string(&record).expect("JSON");
        assert!(text.len() <= max_bytes, "{name}: {} bytes", text.len());
        let read: PageRecord = serde_json::from_str(&text).expect("a page");
        assert_eq!(read.tasks(page), Some(finished), "{name}");
    }
    // Tasks of other pages are ignored.
    let tasks = PageRecord::new(1, &Ranges::from_range(0..5 * PAGE_TASKS)).tasks(1);
    assert_eq!(tasks, Some(Ranges::from_range(PAGE_TASKS..2 * PAGE_TASKS)));
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

/// The number of a task is used as the end of a range plus one: the highest number that fits its type
/// ended the process that received it.
#[test]
fn a_task_number_that_no_task_can_have_is_rejected() {
    for (number, accepted) in [("0", true), ("4294967294", true), ("4294967295", false)] {
        let parsed = format!("req-000412/{number}").parse::<TaskId>();
        assert_eq!(parsed.is_ok(), accepted, "{number}");
        if let Ok(TaskId { index, .. }) = parsed {
            let mut tasks = Ranges::default();
            tasks.insert(index);
            tasks.remove(index);
            assert!(tasks.is_empty(), "{number}");
        }
    }
}
