//! Tests the limits on connections, which follow from the machine's sockets, threads and memory.

use super::*;

#[test]
fn workers_always_leave_connections_to_users() {
    // (sockets, threads, memory, all connections, the least number of connections that workers
    // leave to users)
    for (sockets, threads, memory_mb, total, users) in [
        (2500, 2000, 200.0, 1880, 280),
        (2500, 2000, 85.0, 1699, 250),
        (2500, 1000, 136.0, 880, 130),
        (1024, 2000, 4096.0, 819, 120),
        (64, 2000, 16.0, 51, 7),
        (2500, 50, 200.0, 16, 2),
    ] {
        let limits = ConnectionLimits::for_machine(Limits { sockets, threads, memory_mb });
        assert_eq!(limits.total, total, "{sockets} {threads} {memory_mb}");
        assert!(limits.total - limits.workers >= users, "{sockets} {memory_mb}: {limits:?}");
        assert!(limits.keep_alive < limits.workers, "{sockets} {memory_mb}: {limits:?}");
    }
}
