//! Crowds of PostgreSQL clients that don't behave, against an entry process with low limits on
//! memory and descriptors.
//!
//! The programs must be built: `cargo build --workspace --bins --all-features`. Each test checks that
//! the process lives, that its memory and descriptors stay under the limits, and that an ordinary
//! query on a new connection is answered. The tests run one at a time.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use lab::{
    deployment::{Deployment, DeploymentOptions},
    site::{Host, Site},
};
use rstest::rstest;
use tempfile::TempDir;

/// Memory that the entry process may use, in MB.
const MEMORY_MB: u64 = 64;
/// Descriptors that the entry process may have open.
const DESCRIPTORS: usize = 256;
/// Number of clients in most crowds.
const CLIENTS: usize = 100;
/// Number of clients in crowds that open more connections than there are descriptors.
const MANY_CLIENTS: usize = 400;
/// Size of a large text in a message.
const LARGE_BYTES: usize = 900_000;
/// Time without progress after which a client stops sending or reading.
const STALL: Duration = Duration::from_secs(2);
/// Time that a crowd stays connected after it has sent everything.
const HOLD: Duration = Duration::from_secs(3);
/// First zone of the loopback network, which no other test uses.
const FIRST_ZONE: u8 = 61;
const STARTUP: &[u8] = b"\0\0\0\x23\0\x03\0\0user\0anna\0database\0filing\0\0";
/// `ReadyForQuery` outside of a transaction.
const READY: &[u8] = b"Z\0\0\0\x05I";

/// Time after which a process that answers nothing counts as hanging.
const HANG: Duration = Duration::from_secs(30);

/// Lets one test run at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// A deployment whose first entry process has the limits.
struct Limited {
    deployment: Deployment,
    entry: Host,
    _folder: TempDir,
}

impl Limited {
    fn start() -> Self {
        let test = std::env::current_exe().unwrap();
        let programs = test.parent().and_then(Path::parent).unwrap().to_owned();
        let folder = tempfile::tempdir().unwrap();
        let options = DeploymentOptions {
            programs,
            folder: folder.path().join("run"),
            relayed: false,
            lag_ms: 5,
            statement_us: 200,
        };
        let site = Site {
            first_zone: FIRST_ZONE,
            ..Site::small()
        };
        let mut deployment = Deployment::start(site, options).unwrap();
        let entry = deployment.site.entries()[0];
        let name = deployment.site.process_name(entry);
        let file = folder.path().join(format!("run/{name}.toml"));
        let settings = fs::read_to_string(&file).unwrap();
        let limits = format!("memory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
        fs::write(&file, limits + &settings).unwrap();
        deployment.process(entry).restart().unwrap();
        deployment.wait_ready(entry).unwrap();
        assert!(is_answered(|| serves(entry.address())));
        Self {
            deployment,
            entry,
            _folder: folder,
        }
    }

    /// Folder of the process in `/proc`.
    fn proc_folder(&mut self) -> PathBuf {
        let id = self.deployment.process(self.entry).id().unwrap();
        format!("/proc/{id}").into()
    }

    /// Plays a crowd and checks the process. The crowd is still connected when an ordinary query is
    /// made, unless it `leaves`.
    fn assert_bounded(
        &mut self,
        leaves: bool,
        crowd: impl FnOnce() -> Vec<Option<TcpStream>>,
        answered: impl FnMut() -> bool,
    ) {
        let folder = self.proc_folder();
        let (stop, most) = (AtomicBool::new(false), AtomicUsize::new(0));
        let sample = || {
            while !stop.load(Ordering::SeqCst) {
                let open = fs::read_dir(folder.join("fd")).map_or(0, Iterator::count);
                most.fetch_max(open, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(5));
            }
        };
        let answer = thread::scope(|scope| {
            scope.spawn(sample);
            let mut clients = crowd();
            thread::sleep(HOLD);
            if leaves {
                clients.clear();
            }
            let answer = is_answered(answered);
            stop.store(true, Ordering::SeqCst);
            answer
        });

        let ended = self
            .deployment
            .process(self.entry)
            .wait(Duration::ZERO + HOLD / 30);
        let memory = if ended.is_none() {
            peak_memory_mb(&folder)
        } else {
            0
        };
        let most = most.load(Ordering::SeqCst);
        println!("memory {memory} MB, descriptors {most}, ended {ended:?}, answered {answer}");
        assert_eq!(ended, None, "the process ended");
        assert!(memory < MEMORY_MB, "memory {memory} MB");
        assert!(most < DESCRIPTORS, "{most} descriptors");
        assert!(answer, "no ordinary query is answered");
    }
}

/// Largest memory that a process has used so far, in MB.
fn peak_memory_mb(proc_folder: &Path) -> u64 {
    let status = fs::read_to_string(proc_folder.join("status")).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    kib.unwrap().parse::<u64>().unwrap() / 1_024
}

/// Repeats a query on new connections until it is answered; false if the process hangs.
fn is_answered(mut answered: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + HANG;
    while Instant::now() < end {
        if answered() {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Connects a client that gives up after [`STALL`].
fn connect(to: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, STALL).ok()?;
    stream.set_write_timeout(Some(STALL)).unwrap();
    stream.set_read_timeout(Some(STALL)).unwrap();
    Some(stream)
}

/// Connects a client and logs it in.
fn log_in(to: SocketAddr) -> Option<TcpStream> {
    let mut stream = connect(to)?;
    stream.write_all(STARTUP).ok()?;
    read_answer(&mut stream)?;
    Some(stream)
}

/// Reads up to the next [`READY`]. Returns whether there was no error.
fn read_answer(stream: &mut TcpStream) -> Option<bool> {
    let mut answer = Vec::new();
    let mut part = [0; 16 << 10];
    while !answer.ends_with(READY) {
        let count = stream.read(&mut part).ok().filter(|count| *count > 0)?;
        answer.extend_from_slice(&part[..count]);
    }
    Some(!answer.windows(7).any(|bytes| bytes == b"SERROR\0"))
}

/// Sends as much as is accepted.
fn push(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

/// A message with its type and length.
fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap();
    let mut bytes = vec![tag];
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn query(text: &str) -> Vec<u8> {
    message(b'Q', format!("{text}\0").as_bytes())
}

/// A query with a large text.
fn large_query() -> Vec<u8> {
    query(&format!("SELECT '{}'", "a".repeat(LARGE_BYTES)))
}

/// Runs a query and returns whether it succeeded.
fn run_query(stream: &mut TcpStream, text: &str) -> bool {
    push(stream, &query(text)) && read_answer(stream) == Some(true)
}

/// Whether an ordinary query on a new connection succeeds.
fn serves(callers: SocketAddr) -> bool {
    log_in(callers).is_some_and(|mut stream| run_query(&mut stream, "SELECT 1"))
}

/// Runs `client` on `count` threads at the same time. Returns the connections that it left open.
fn run_crowd(
    count: usize,
    client: impl Fn() -> Option<TcpStream> + Sync,
) -> Vec<Option<TcpStream>> {
    thread::scope(|scope| {
        let clients: Vec<_> = (0..count).map(|_| scope.spawn(&client)).collect();
        let joined = clients.into_iter().map(|client| client.join().unwrap());
        joined.collect()
    })
}

/// Plays a crowd of callers against an entry process with low limits.
fn assert_callers_bounded(
    count: usize,
    leaves: bool,
    client: impl Fn(SocketAddr) -> Option<TcpStream> + Sync,
) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut limited = Limited::start();
    let callers = limited.entry.address();
    limited.assert_bounded(
        leaves,
        || run_crowd(count, || client(callers)),
        || serves(callers),
    );
}

/// Guards against a limit that refuses a single large message while there is nothing else to do.
#[test]
fn calm_large_query_is_served() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let limited = Limited::start();
    let mut stream = log_in(limited.entry.address()).unwrap();

    push(&mut stream, &large_query());

    assert_eq!(read_answer(&mut stream), Some(true));
    assert!(run_query(&mut stream, "SELECT 1"));
}

/// Guards against memory taken by queries of which half has arrived.
#[test]
fn half_sent_queries_are_bounded() {
    let whole = large_query();
    assert_callers_bounded(CLIENTS, false, |callers| {
        let mut stream = log_in(callers)?;
        push(&mut stream, &whole[..whole.len() - 4_096]).then_some(stream)
    });
}

/// Guards against memory taken by legal queries that arrive whole at the same time.
#[test]
fn large_queries_are_bounded() {
    let whole = large_query();
    assert_callers_bounded(CLIENTS, false, |callers| {
        let mut stream = log_in(callers)?;
        for _ in 0..3 {
            if !push(&mut stream, &whole) {
                return None;
            }
            let _answer = read_answer(&mut stream);
        }
        Some(stream)
    });
}

/// Guards against memory taken by legal queries that arrive in small pieces.
#[test]
fn queries_in_pieces_are_bounded() {
    let whole = large_query();
    assert_callers_bounded(CLIENTS, false, |callers| {
        let mut stream = log_in(callers)?;
        for piece in whole.chunks(4 << 10) {
            if !push(&mut stream, piece) {
                return None;
            }
            thread::sleep(Duration::from_millis(5));
        }
        Some(stream)
    });
}

/// Guards against memory taken by messages far over the limit.
#[test]
fn oversized_messages_are_bounded() {
    let mut start = message(b'Q', &[]);
    start[1..5].copy_from_slice(&0x3000_0000_u32.to_be_bytes());
    let part = vec![b'a'; 64 << 10];
    assert_callers_bounded(CLIENTS, false, |callers| {
        let mut stream = log_in(callers)?;
        push(&mut stream, &start);
        for _ in 0..128 {
            if !push(&mut stream, &part) {
                return None;
            }
            thread::sleep(Duration::from_millis(20));
        }
        Some(stream)
    });
}

/// Guards against memory taken by messages that arrive very slowly.
#[test]
fn slow_queries_are_bounded() {
    let whole = large_query();
    assert_callers_bounded(CLIENTS, false, |callers| {
        let mut stream = log_in(callers)?;
        for piece in whole.chunks(1 << 10).take(100) {
            if !push(&mut stream, piece) {
                return None;
            }
            thread::sleep(Duration::from_millis(30));
        }
        Some(stream)
    });
}

/// Guards against memory taken by messages of one batch, each of legal size.
#[test]
fn large_batches_are_bounded() {
    let parse = message(
        b'P',
        format!("\0SELECT '{}'\0\0\0", "a".repeat(LARGE_BYTES)).as_bytes(),
    );
    assert_callers_bounded(CLIENTS, false, |callers| {
        let mut stream = log_in(callers)?;
        for _ in 0..4 {
            if !push(&mut stream, &parse) {
                return None;
            }
        }
        Some(stream)
    });
}

/// Guards against memory taken by queries that were sent ahead, with small answers that nobody reads.
#[test]
fn queries_sent_ahead_are_bounded() {
    let ahead = query("SELECT 1").repeat(40_000);
    assert_callers_bounded(CLIENTS, false, |callers| {
        let mut stream = log_in(callers)?;
        let _partly = push(&mut stream, &ahead);
        Some(stream)
    });
}

/// Guards against memory taken by large answers that nobody reads, or that are read very slowly.
#[rstest]
#[case::unread(0)]
#[case::read_slowly(60)]
fn large_answers_are_bounded(#[case] reads: usize) {
    let ahead = query("SELECT * FROM big").repeat(20);
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut limited = Limited::start();
    let callers = limited.entry.address();
    let mut writer = log_in(callers).unwrap();
    assert!(run_query(
        &mut writer,
        "CREATE TABLE big (id int PRIMARY KEY, v text)"
    ));
    let insert = format!("INSERT INTO big VALUES (1, '{}')", "v".repeat(LARGE_BYTES));
    assert!(run_query(&mut writer, &insert));
    let client = || {
        let mut stream = log_in(callers)?;
        let _partly = push(&mut stream, &ahead);
        let mut part = [0; 1 << 10];
        for _ in 0..reads {
            if !stream.read(&mut part).is_ok_and(|count| count > 0) {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        Some(stream)
    };
    limited.assert_bounded(false, || run_crowd(CLIENTS, client), || serves(callers));
}

/// Guards against memory taken by what sessions keep: their parameters and prepared statements.
#[rstest]
#[case::parameters(false)]
#[case::prepared(true)]
fn kept_by_sessions_is_bounded_in_entry(#[case] prepares: bool) {
    let large = "a".repeat(LARGE_BYTES);
    assert_callers_bounded(CLIENTS / 2, false, |callers| {
        let mut stream = log_in(callers)?;
        for i in 0..4 {
            let bytes = if prepares {
                let parse = format!("s{i}\0SELECT '{large}'\0\0\0");
                [message(b'P', parse.as_bytes()), message(b'S', &[])].concat()
            } else {
                query(&format!("SET app.v{i} = '{large}'"))
            };
            if !push(&mut stream, &bytes) {
                return None;
            }
            read_answer(&mut stream)?;
        }
        Some(stream)
    });
}

/// Guards against descriptors that run out because callers hold all of them.
#[rstest]
#[case::logged_in(true)]
#[case::silent(false)]
fn callers_leave_descriptors_in_entry(#[case] logs_in: bool) {
    assert_callers_bounded(MANY_CLIENTS, true, |callers| {
        if logs_in {
            log_in(callers)
        } else {
            connect(callers)
        }
    });
}

/// Guards against memory or descriptors that run out because of clients at the HTTP address.
#[rstest]
#[case::half_bodies(false)]
#[case::connections(true)]
fn http_address_is_bounded(#[case] silent: bool) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut limited = Limited::start();
    let (http, callers) = (limited.entry.http(), limited.entry.address());
    let length = 4 << 20;
    let head = format!("POST /v1/announce HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length - 1, b'a');
    let count = if silent { MANY_CLIENTS } else { CLIENTS };
    let client = || {
        let mut stream = connect(http)?;
        let _partly = silent || push(&mut stream, &bytes);
        Some(stream)
    };
    limited.assert_bounded(
        silent,
        || run_crowd(count, client),
        || lab::admin::answers(http, STALL) && serves(callers),
    );
}
