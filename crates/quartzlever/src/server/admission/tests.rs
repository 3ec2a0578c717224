//! Bounds follow from the machine's limits.

use super::*;

#[test]
fn users_find_room_beside_all_workers() {
    // (sockets, threads, memory, connections in all, least that workers leave to users)
    for (sockets, threads, memory_mb, all, users) in [
        (2500, 2000, 200.0, 1880, 280),
        (2500, 2000, 85.0, 1699, 250),
        (2500, 1000, 136.0, 880, 130),
        (1024, 2000, 4096.0, 819, 120),
        (64, 2000, 16.0, 51, 7),
        (2500, 50, 200.0, 16, 2),
    ] {
        let bounds = Bounds::of(Limits { sockets, threads, memory_mb });
        assert_eq!(bounds.all, all, "{sockets} {threads} {memory_mb}");
        assert!(bounds.all - bounds.workers >= users, "{sockets} {memory_mb}: {bounds:?}");
        assert!(bounds.kept < bounds.workers, "{sockets} {memory_mb}: {bounds:?}");
    }
}
