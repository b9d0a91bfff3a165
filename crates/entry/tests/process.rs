//! The binary as operators run it: command line, settings file, HTTP routes and signals.

use std::{
    io::{Read as _, Write as _},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

const BINARY: &str = env!("CARGO_BIN_EXE_entry");

/// Returns a free address with an IP number of its own. On 127.0.0.1 any outgoing connection could
/// take the port before the process binds it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let host = IpAddr::from([127, 0, 7, NEXT.fetch_add(1, Ordering::Relaxed)]);
    // A TCP listener would live on in a process that another test is starting, accept the first
    // connection and reset it.
    let socket = UdpSocket::bind((host, 0)).unwrap();
    socket.local_addr().unwrap()
}

fn settings_file(address: SocketAddr, http: SocketAddr) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    writeln!(
        file,
        "name = \"entry-1\"\nzone = \"north\"\nregion = \"east\"\nhost = \"127.0.0.1\"\n\
         address = \"{address}\"\nhttp = \"{http}\"\ncontrol = [\"{}\"]",
        free_address()
    )
    .unwrap();
    file
}

fn start(file: &tempfile::NamedTempFile) -> Child {
    Command::new(BINARY)
        .arg("--settings")
        .arg(file.path())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// Sends a request and returns the complete response; `None` while nothing listens.
fn request(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    Some(response)
}

/// Guards against missing routes for load balancers, monitoring and database members, and against a
/// wrong exit code of a graceful stop.
#[test]
fn serves_and_stops() {
    let (address, http) = (free_address(), free_address());
    let file = settings_file(address, http);
    let mut child = start(&file);
    let end = Instant::now() + Duration::from_secs(10);
    while request(http, "GET", "/ready", "").is_none() {
        assert!(Instant::now() < end, "no answer on {http}");
        std::thread::sleep(Duration::from_millis(20));
    }
    let get = |path| request(http, "GET", path, "").unwrap();
    let invalid = request(http, "POST", "/v1/announce", "{}").unwrap();
    let valid = r#"{"member":"a","group":"g","store":"s","address":"127.0.0.1:5432","zone":"z",
        "region":"r","connections":16,"slots":2,"leaving":false}"#;
    let valid = request(http, "POST", "/v1/announce", valid).unwrap();
    let (ready, metrics, dump) = (get("/ready"), get("/metrics"), get("/dump"));
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    let status = child.wait().unwrap();

    assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
    assert!(metrics.contains("goldcrestrail_callers 0"), "{metrics}");
    assert!(dump.contains(r#""config_version":0"#), "{dump}");
    assert!(dump.contains(r#""member":"a""#), "{dump}");
    assert!(invalid.starts_with("HTTP/1.1 400"), "{invalid}");
    assert!(invalid.contains(r#""cause""#) && invalid.contains(r#""mend""#));
    assert!(valid.starts_with("HTTP/1.1 204"), "{valid}");
    assert_eq!(status.code(), Some(0));
}

/// Guards against a process that starts with an invalid command line or settings file instead of
/// exiting with code 2.
#[test]
fn invalid_usage() {
    let code = |arguments: &[&str]| {
        let output = Command::new(BINARY).args(arguments).output().unwrap();
        (output.status.code(), output.stderr.is_empty())
    };
    assert_eq!(code(&[]), (Some(2), false));
    assert_eq!(code(&["--nonsense"]), (Some(2), false));
    assert_eq!(code(&["--settings", "/nonexistent.toml"]), (Some(2), false));
    assert_eq!(code(&["--help"]), (Some(0), true));
}

/// Guards against a process that keeps running without callers when its address is in use: it must
/// exit with code 1.
#[test]
fn address_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let file = settings_file(taken.local_addr().unwrap(), free_address());
    let status = start(&file).wait().unwrap();
    assert_eq!(status.code(), Some(1));
}
