//! Memory of idle callers. A separate test binary, because it measures the whole process.

mod common;

use std::io::{Read, Write};

use common::{Harness, run};
use compio::runtime::spawn_blocking;

/// Guards against growth of the memory of an idle session: one process serves thousands of them.
#[test]
fn idle_callers_take_little_memory() {
    run(async {
        let harness = Harness::new().await;
        let mut callers = Vec::new();
        for _ in 0..100 {
            callers.push(connect(&harness).await);
        }
        let before = resident();
        for _ in 0..1_000 {
            callers.push(connect(&harness).await);
        }

        let each = resident().saturating_sub(before) / 1_000;

        println!("{each} bytes per idle caller");
        assert!(each < 16 << 10, "{each} bytes per idle caller");
    });
}

/// Logs in a caller that itself takes no memory for buffers, and runs one read.
async fn connect(harness: &Harness) -> std::net::TcpStream {
    let address = harness.address;
    let task = spawn_blocking(move || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        let body = b"\0\0\0\x23\0\x03\0\0user\0anna\0database\0orders\0\0";
        stream.set_nodelay(true).unwrap();
        stream.write_all(body).unwrap();
        stream.write_all(b"Q\0\0\0\x0dSELECT 1\0").unwrap();
        let mut last = Vec::new();
        let mut part = [0; 512];
        while !last.ends_with(b"SELECT 1\0Z\0\0\0\x05I") {
            let count = stream.read(&mut part).unwrap();
            assert!(count > 0, "{}", String::from_utf8_lossy(&last));
            last.extend_from_slice(&part[..count]);
        }
        stream
    });
    task.await.unwrap()
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4_096
}
