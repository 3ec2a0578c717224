//! Compatibility with the production version: this version must read what that version writes, and
//! write the same bytes, as other controllers may still run that version. The expected bytes were
//! written by the production version itself.

use quartzlever_wire::Json;
use quartzlever_wire::peers::{self, FreeCapacity, Load, PeerAnswer, PeerRequest, ThiefCapacity};
use quartzlever_wire::store::{
    ActiveJobRecord, PartitionRecord, TerminalJobRecord, group_key, group_size, large_group_key,
    machine_records_in,
};
use quartzlever_wire::users::{JobPhase, Priority, Shape};

/// Returns the frame of a message in hexadecimal digits.
fn frame_hex<T: serde::Serialize>(message: &T) -> String {
    let mut bytes = Vec::new();
    peers::send(&mut bytes, message).expect("a frame");
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digit = |c: u8| (c as char).to_digit(16).expect("a digit") as u8;
    hex.as_bytes().chunks(2).map(|pair| digit(pair[0]) * 16 + digit(pair[1])).collect()
}

#[test]
fn peer_messages_equal_those_of_the_production_version() {
    let free = FreeCapacity {
        machine_type: "m".into(),
        zone: "a".into(),
        spot: true,
        cpus: 4.0,
        gpus: 0.0,
        ram_gb: 8.0,
    };
    let requests = [
        (PeerRequest::Counts { priority: Priority::Urgent }, "000000080000000001000000"),
        (
            PeerRequest::Steal {
                partition: "one".into(),
                term: 7,
                priority: Priority::BestEffort,
                capacity: ThiefCapacity { free: vec![free] },
                load: Some(Load { work: 2.5, cpus: 8.0 }),
            },
            "0000005f0100000003000000000000006f6e65070000000000000003000000010000000000000001000000000000006d010000000000000061010000000000001040000000000000000000000000000020400100000000000004400000000000002040",
        ),
        (PeerRequest::Saturated, "0000000402000000"),
        (
            PeerRequest::HandBack { partition: "two".into() },
            "0000000f03000000030000000000000074776f",
        ),
        (PeerRequest::StoreConnectivity, "0000000404000000"),
        (
            PeerRequest::MachinesSeen { partition: "one".into(), machines: 3 },
            "000000130500000003000000000000006f6e6503000000",
        ),
        (
            PeerRequest::ScaledOut { partition: "one".into(), machines: vec!["n-1".into()] },
            "000000220600000003000000000000006f6e65010000000000000003000000000000006e2d31",
        ),
        (
            PeerRequest::Cancelled { job: "req-1".into(), done: 4 },
            "000000150700000005000000000000007265712d3104000000",
        ),
    ];
    for (message, hex) in requests {
        assert_eq!(frame_hex(&message), hex);
        let read: PeerRequest = peers::receive(&mut bytes_of(hex).as_slice()).expect("a message");
        assert_eq!(read, message);
    }
    let answers = [
        (
            PeerAnswer::Counts { ready: 5, load: Load { work: 1.0, cpus: 2.0 } },
            "000000180000000005000000000000000000f03f0000000000000040",
        ),
        (
            PeerAnswer::Stolen { jobs: vec![("req-1".into(), 9, "{}".into())] },
            "0000002b01000000010000000000000005000000000000007265712d31090000000000000002000000000000007b7d",
        ),
        (PeerAnswer::StoreConnectivity { reached: true }, "000000050200000001"),
        (PeerAnswer::Empty, "0000000403000000"),
    ];
    for (message, hex) in answers {
        assert_eq!(frame_hex(&message), hex);
        let read: PeerAnswer = peers::receive(&mut bytes_of(hex).as_slice()).expect("a message");
        assert_eq!(read, message);
    }
}

#[test]
fn records_equal_those_of_the_production_version() {
    let active = r#"{"job":{"ref":"req-000412","jobclass":"train","owner":"vision","shape":"batch","rank":"urgent","shards":16,"cpus":8.0,"gpus":1.0,"ram_gb":64.0,"bundle":"img-07","size_gb":6.2,"chassis":["g8"],"together":true,"apart":false,"loaners":true,"expect_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0},"since":1000000,"started":true,"shares":[{"part":"one","term":5,"tasks":"0-11"},{"part":"two","term":8,"tasks":"12-15"}],"finished":"0-3,7"}"#;
    let record: ActiveJobRecord = serde_json::from_str(active).expect("a record of an active job");
    assert_eq!((record.job.shape, record.job.tasks, record.started), (Shape::Batch, 16, true));
    assert_eq!(record.unfinished_tasks_of("one").to_string(), "4-6,8-11");
    assert_eq!(Json::of(&record).text(), active);
    let partition = r#"{"node":"one","process":77}"#;
    let record: PartitionRecord = serde_json::from_str(partition).expect("a record of a partition");
    assert_eq!((record.node.as_str(), record.process), ("one", 77));
    assert_eq!(Json::of(&record).text(), partition);
    let terminal = r#"{"phase":"aborted","done":4}"#;
    let record: TerminalJobRecord =
        serde_json::from_str(terminal).expect("a record of a terminal job");
    assert_eq!((record.phase, record.done), (JobPhase::Cancelled, 4));
    assert_eq!(Json::of(&record).text(), terminal);
    let machines = r#"{"m":{"n-000231":["one","10.1.0.232:9000","g8","a",true]}}"#;
    let value: Json = serde_json::from_str(machines).expect("JSON");
    let found = machine_records_in("hosts/n-~3", &value).expect("machines");
    assert_eq!(found["n-000231"].address, "10.1.0.232:9000");
    assert_eq!(large_group_key("n-000231"), "hosts/n-~3");
}

#[test]
fn each_small_group_lies_within_one_large_group() {
    // (limit on values in bytes, machines per group, the key of n-000231)
    for (limit, size, key) in [
        (16 * 1024, 64, "hosts/n-~3"),
        (8 * 1024, 64, "hosts/n-~3"),
        (4 * 1024, 32, "hosts/n-~32~7"),
        (2 * 1024, 16, "hosts/n-~16~14"),
        (3 * 1024, 16, "hosts/n-~16~14"),
        (1024, 8, "hosts/n-~8~28"),
        (100, 1, "hosts/n-~1~231"),
    ] {
        assert_eq!(group_size(limit), size, "{limit}");
        assert_eq!(group_key("n-000231", size), key, "{limit}");
        for number in 0..300 {
            let (machine, first) =
                (format!("n-{number:06}"), format!("n-{:06}", number / size * size));
            // The production version uses large groups only. All machines of a small group are in
            // the same large group.
            assert_eq!(large_group_key(&machine), large_group_key(&first), "{limit} {machine}");
            assert_eq!(group_key(&machine, size), group_key(&first, size));
        }
    }
}
