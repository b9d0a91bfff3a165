//! The `standin` binary: options, settings, SIGTERM and announcements.

mod common;

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{IpAddr, SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU8, Ordering},
        mpsc,
    },
    time::{Duration, Instant},
};

use rstest::rstest;
use serde_json::Value;
use tokio_postgres::NoTls;

fn spawn(arguments: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(arguments)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// A free port of `host`. The port is released before the process binds it.
fn free_port(host: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// A free port on a loopback address of its own; on 127.0.0.1 any outgoing connection could take
/// the port before the process binds it.
fn unique_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    free_port([127, 0, 8, NEXT.fetch_add(1, Ordering::Relaxed)].into())
}

fn write_settings(folder: &Path, address: SocketAddr, announce: &[SocketAddr]) -> String {
    let host = address.ip();
    let http = free_port(host);
    let announce: Vec<_> = announce.iter().map(|to| format!("\"{to}\"")).collect();
    let text = format!(
        "member = \"a\"\ngroup = \"orders\"\nzone = \"z\"\nregion = \"r\"\nhost = \"{host}\"\n\
         address = \"{address}\"\nadvertise = \"{address}\"\nhttp = \"{http}\"\n\
         data = \"{}\"\nconnections = 16\nslots = 2\nconnect_ms = 0\nstatement_us = 0\n\
         lag_ms = 0\nannounce = [{}]\n",
        folder.join("data").display(),
        announce.join(", ")
    );
    let path = folder.join("settings.toml");
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// A fake entry host that accepts announcements and returns their bodies through a channel.
fn fake_entry_host() -> (SocketAddr, mpsc::Receiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut text = String::new();
            let mut part = [0; 4_096];
            while !text.ends_with('}') {
                let count = stream.read(&mut part).unwrap();
                text.push_str(str::from_utf8(&part[..count]).unwrap());
            }
            assert!(text.starts_with("POST /v1/announce HTTP/1.1\r\n"), "{text}");
            stream
                .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
                .unwrap();
            let body = text.split_once("\r\n\r\n").unwrap().1;
            if sender.send(serde_json::from_str(body).unwrap()).is_err() {
                return;
            }
        }
    });
    (address, receiver)
}

fn terminate(child: &Child) {
    let sent = Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status()
        .unwrap();
    assert!(sent.success());
}

/// Guards against wrong exit codes, which scripts and supervisors rely on.
#[rstest]
#[case(&["--help"], 0)]
#[case(&[], 2)]
#[case(&["--nonsense"], 2)]
#[case(&["--settings", "missing.toml"], 2)]
fn options_set_exit_code(#[case] arguments: &[&str], #[case] expected: i32) {
    let status = spawn(arguments).wait().unwrap();

    assert_eq!(status.code(), Some(expected));
}

/// Guards against accepting invalid settings.
#[rstest]
#[case("slots = 2", "slots = 0")]
#[case("slots = 2", "slots = 2\nslot = 3")]
#[case("connections = 16", "connections = \"16\"")]
fn invalid_settings_are_rejected(#[case] from: &str, #[case] to: &str) {
    let folder = tempfile::tempdir().unwrap();
    let path = write_settings(folder.path(), unique_address(), &[]);
    let text = fs::read_to_string(&path).unwrap();
    fs::write(&path, text.replace(from, to)).unwrap();

    let status = spawn(&["--settings", &path]).wait().unwrap();

    assert_eq!(status.code(), Some(2));
}

/// Guards against a planned stop that interrupts a running statement, that rejects statements
/// before the sessions have ended, or that is not announced to every entry host.
#[tokio::test]
async fn sigterm_waits_for_running_statements() {
    let folder = tempfile::tempdir().unwrap();
    let (entries, announced): (Vec<_>, Vec<_>) = (0..2).map(|_| fake_entry_host()).unzip();
    let address = unique_address();
    let path = write_settings(folder.path(), address, &entries);
    let mut child = spawn(&["--settings", &path]);
    let first = announced[0].recv_timeout(Duration::from_secs(10)).unwrap();
    let second = announced[1].recv_timeout(Duration::from_secs(10)).unwrap();
    let text = format!(
        "host={} port={} user=caller dbname=orders",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await.unwrap();
    let connection = tokio::spawn(connection);

    let terminating = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        terminate(&child);
    };
    let (slept, ()) =
        futures_util::future::join(client.simple_query("SELECT pg_sleep(0.5)"), terminating).await;
    let served = client.simple_query("SELECT 1").await;
    drop(client);
    let _ended = connection.await;
    let start = Instant::now();
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap())
        .await
        .unwrap();

    assert_eq!(first["member"], "a");
    assert_eq!(first["group"], "orders");
    assert_eq!(first["address"], address.to_string());
    assert_eq!(first["connections"], 16);
    assert_eq!(first["slots"], 2);
    assert_eq!(first["leaving"], false);
    assert_eq!(first["store"], second["store"]);
    slept.unwrap();
    served.expect("new statements are served until idle sessions are closed");
    assert_eq!(status.code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs(3));
    for receiver in announced {
        assert!(receiver.try_iter().any(|body| body["leaving"] == true));
    }
}

/// Guards against a primary that exits before another member is promoted, and against one that
/// waits although no entry host knows of the stop.
#[rstest]
#[case::handed_over(true, true, 400..1_500)]
#[case::never_handed_over(true, false, 4_800..7_000)]
#[case::announced_to_nobody(false, false, 0..1_500)]
#[tokio::test]
async fn sigterm_of_primary_waits_for_handover(
    #[case] has_entry_host: bool,
    #[case] is_handed_over: bool,
    #[case] expected: std::ops::Range<u128>,
) {
    let folder = tempfile::tempdir().unwrap();
    let (entries, _announced): (Vec<_>, Vec<_>) =
        has_entry_host.then(fake_entry_host).into_iter().unzip();
    let address = unique_address();
    let path = write_settings(folder.path(), address, &entries);
    let mut child = spawn(&["--settings", &path]);
    let monitor = format!(
        "host={} port={} user=monitor dbname=orders",
        address.ip(),
        address.port()
    );
    let started = Instant::now();
    let (client, connection) = loop {
        match tokio_postgres::connect(&monitor, NoTls).await {
            Ok(pair) => break pair,
            Err(cause) => assert!(started.elapsed() < Duration::from_secs(10), "{cause}"),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    let _connection = tokio::spawn(connection);
    client.simple_query("PROMOTE TERM 1").await.unwrap();

    let start = Instant::now();
    terminate(&child);
    tokio::time::sleep(Duration::from_millis(400)).await;
    if is_handed_over {
        let follow = "FOLLOW '127.0.0.1:9' TERM 2";
        client
            .simple_query(follow)
            .await
            .expect("the member still serves management connections");
    }
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap())
        .await
        .unwrap();

    let took = start.elapsed().as_millis();
    assert!(expected.contains(&took), "took {took} ms");
    assert_eq!(status.code(), Some(0));
}

/// Guards against a member without sessions that exits before it announced the stop to every entry
/// host.
#[test]
fn sigterm_is_announced_without_sessions() {
    let folder = tempfile::tempdir().unwrap();
    let (entries, announced): (Vec<_>, Vec<_>) = (0..3).map(|_| fake_entry_host()).unzip();
    let path = write_settings(folder.path(), unique_address(), &entries);
    let mut child = spawn(&["--settings", &path]);
    announced[0].recv_timeout(Duration::from_secs(10)).unwrap();

    terminate(&child);
    let status = child.wait().unwrap();

    assert_eq!(status.code(), Some(0));
    for receiver in announced {
        assert!(receiver.try_iter().any(|body| body["leaving"] == true));
    }
}

/// Guards against idle sessions that keep a stopping member alive.
#[tokio::test]
async fn sigterm_closes_idle_sessions() {
    let folder = tempfile::tempdir().unwrap();
    let address = unique_address();
    let path = write_settings(folder.path(), address, &[]);
    let mut child = spawn(&["--settings", &path]);
    let text = format!(
        "host={} port={} user=caller dbname=orders",
        address.ip(),
        address.port()
    );
    let start = Instant::now();
    let (_client, connection) = loop {
        match tokio_postgres::connect(&text, NoTls).await {
            Ok(pair) => break pair,
            Err(cause) => assert!(start.elapsed() < Duration::from_secs(10), "{cause}"),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };

    terminate(&child);
    let closed = connection.await;
    let status = tokio::task::spawn_blocking(move || child.wait().unwrap())
        .await
        .unwrap();

    assert_eq!(common::sqlstate(closed), "57P01");
    assert_eq!(status.code(), Some(0));
}
