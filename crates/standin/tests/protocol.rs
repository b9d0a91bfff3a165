//! PostgreSQL protocol messages.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{TestMember, settings};
use compio::{
    buf::BufResult,
    io::{AsyncRead as _, AsyncWriteExt as _},
    net::TcpStream,
    runtime::Runtime,
};
use rstest::rstest;
use wire::{Client, Frame, writer::encode};

fn block_on<T>(future: impl Future<Output = T>) -> T {
    Runtime::new().unwrap().block_on(future)
}

async fn open(address: SocketAddr, user: &str) -> Client {
    let stream = TcpStream::connect(address).await.unwrap();
    Client::open(stream, user, "orders").await.unwrap()
}

/// Frames of a simple query, up to `ReadyForQuery`.
async fn query(client: &mut Client, sql: &str) -> Vec<Frame> {
    let mut body = sql.as_bytes().to_vec();
    body.push(0);
    client.writer.parts(b'Q', &body);
    client.writer.flush().await.unwrap();
    until_ready(client).await
}

async fn until_ready(client: &mut Client) -> Vec<Frame> {
    let mut frames = Vec::new();
    loop {
        let frame = client.frame().await.unwrap();
        let done = frame.tag == b'Z';
        frames.push(frame);
        if done {
            return frames;
        }
    }
}

fn tags(frames: &[Frame]) -> String {
    frames.iter().map(|frame| char::from(frame.tag)).collect()
}

fn reported_positions(frames: &[Frame]) -> Vec<String> {
    frames
        .iter()
        .filter_map(Frame::parameter_status)
        .filter(|(name, _)| *name == "upstream_position")
        .map(|(_, value)| value.to_owned())
        .collect()
}

/// Adds Parse, Bind and Execute of a statement without parameters.
fn push_extended_query(client: &mut Client, sql: &str, rows: i32) {
    client
        .writer
        .parts(b'P', &[b"\0", sql.as_bytes(), b"\0\0\0"].concat());
    client.writer.parts(b'B', &[0; 8]);
    client
        .writer
        .parts(b'E', &[&[0][..], &rows.to_be_bytes()].concat());
}

fn member() -> (TestMember, tempfile::TempDir) {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(settings(folder.path()));
    block_on(async {
        let mut monitor = open(node.address, "monitor").await;
        monitor.query("PROMOTE TERM 1").await.unwrap();
        let mut client = open(node.address, "caller").await;
        client
            .query("CREATE TABLE t (id int PRIMARY KEY)")
            .await
            .unwrap();
    });
    (node, folder)
}

/// Guards against a position that is missing after a commit or a read, that follows
/// `ReadyForQuery`, or that is reported again without a change.
#[test]
fn position_is_reported_when_it_changed() {
    let (node, _folder) = member();
    block_on(async {
        let mut client = open(node.address, "caller").await;
        let mut other = open(node.address, "caller").await;

        let read = query(&mut client, "SELECT * FROM t").await;
        let again = query(&mut client, "SELECT * FROM t").await;
        let write = query(&mut client, "INSERT INTO t VALUES (1)").await;
        query(&mut other, "INSERT INTO t VALUES (2)").await;
        let later = query(&mut client, "SELECT 1").await;
        query(&mut client, "BEGIN").await;
        let inside = query(&mut client, "INSERT INTO t VALUES (3)").await;
        let commit = query(&mut client, "COMMIT").await;

        assert_eq!(
            (tags(&read), reported_positions(&read)),
            ("TCSZ".into(), vec!["1/1".into()])
        );
        assert_eq!(reported_positions(&again), Vec::<String>::new());
        assert_eq!(
            (tags(&write), reported_positions(&write)),
            ("CSZ".into(), vec!["1/2".into()])
        );
        assert_eq!(reported_positions(&later), ["1/3"]);
        assert_eq!(reported_positions(&inside), Vec::<String>::new());
        assert_eq!(reported_positions(&commit), ["1/4"]);
    });
}

/// Guards against a wrong transaction status, which connection pools rely on.
#[test]
fn ready_for_query_reports_transaction_status() {
    let (node, _folder) = member();
    block_on(async {
        let mut client = open(node.address, "caller").await;
        let mut status = async |sql| {
            query(&mut client, sql)
                .await
                .last()
                .unwrap()
                .transaction_status()
                .unwrap()
        };

        let idle = status("SELECT 1").await;
        let open = status("BEGIN").await;
        let failed = status("SELECT * FROM missing").await;
        let ignored = status("SELECT 1").await;
        let ended = status("ROLLBACK").await;

        assert_eq!([idle, open, failed, ignored, ended], *b"ITEEI");
    });
}

/// Guards against a batch that commits its first statements although a later one failed, and
/// against messages that are executed between an error and Sync.
#[test]
fn batch_is_one_transaction() {
    let (node, _folder) = member();
    block_on(async {
        let mut client = open(node.address, "caller").await;

        push_extended_query(&mut client, "INSERT INTO t VALUES (1)", 0);
        push_extended_query(&mut client, "INSERT INTO t VALUES (1)", 0);
        push_extended_query(&mut client, "INSERT INTO t VALUES (2)", 0);
        client.writer.parts(b'S', &[]);
        client.writer.flush().await.unwrap();
        let failed = until_ready(&mut client).await;
        push_extended_query(&mut client, "INSERT INTO t VALUES (3)", 0);
        push_extended_query(&mut client, "SELECT id FROM t", 0);
        client.writer.parts(b'S', &[]);
        client.writer.flush().await.unwrap();
        let passed = until_ready(&mut client).await;

        assert_eq!(tags(&failed), "12C12ESZ");
        assert_eq!(failed[5].sqlstate(), Some("23505"));
        assert_eq!(tags(&passed), "12C12DCSZ");
        assert_eq!(reported_positions(&passed), ["1/2"]);
    });
}

/// Guards against a command that is reported as complete before its transaction is committed.
#[test]
fn no_command_completes_before_sync() {
    let (node, _folder) = member();
    block_on(async {
        let mut client = open(node.address, "caller").await;

        push_extended_query(&mut client, "INSERT INTO t VALUES (1)", 0);
        client.writer.flush().await.unwrap();
        let early = compio::time::timeout(Duration::from_millis(150), client.frame()).await;
        let silent = early.is_err();
        drop(early);
        let mut other = open(node.address, "caller").await;
        let rows = other.query("SELECT * FROM t").await.unwrap();

        assert!(silent);
        assert!(rows.is_empty());
    });
}

/// Guards against responses to pipelined batches that are out of order or interleaved.
#[test]
fn pipelined_batches_are_answered_in_order() {
    let (node, _folder) = member();
    block_on(async {
        let mut client = open(node.address, "caller").await;
        for n in 0..100 {
            push_extended_query(&mut client, &format!("SELECT {n}"), 0);
            client.writer.parts(b'S', &[]);
        }
        client.writer.flush().await.unwrap();

        for n in 0..100 {
            let frames = until_ready(&mut client).await;
            let row = frames.iter().find(|frame| frame.tag == b'D').unwrap();
            assert_eq!(&row.body[6..], n.to_string().as_bytes());
        }
    });
}

/// Guards against rows that are lost or repeated when a portal is fetched in several steps.
#[test]
fn portal_is_read_in_parts() {
    let (node, _folder) = member();
    block_on(async {
        let mut client = open(node.address, "caller").await;
        client
            .query("INSERT INTO t VALUES (1), (2), (3)")
            .await
            .unwrap();

        push_extended_query(&mut client, "SELECT id FROM t", 2);
        client.writer.parts(b'E', &[0, 0, 0, 0, 2]);
        client.writer.parts(b'S', &[]);
        client.writer.flush().await.unwrap();
        let frames = until_ready(&mut client).await;

        assert_eq!(tags(&frames), "12DDsDCZ");
        assert_eq!(frames[6].command_tag(), Some("SELECT 1"));
    });
}

/// Guards against clients that hang after they request encryption.
#[rstest]
#[case(80_877_103)]
#[case(80_877_104)]
fn encryption_is_declined(#[case] code: i32) {
    let (node, _folder) = member();
    block_on(async {
        let mut stream = TcpStream::connect(node.address).await.unwrap();
        let ask = [8i32.to_be_bytes(), code.to_be_bytes()].concat();
        stream.write_all(ask).await.0.unwrap();
        let BufResult(count, answer) = stream.read(Vec::with_capacity(8)).await;
        let mut client = Client::open(stream, "caller", "orders").await.unwrap();
        let rows = client.query("SELECT 1").await.unwrap();

        assert_eq!((count.unwrap(), answer.as_slice()), (1, &b"N"[..]));
        assert_eq!(rows, [[Some("1".to_owned())]]);
    });
}

/// Guards against bytes of another protocol that crash the process or get no error response.
#[rstest]
#[case(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(), "54000")]
#[case(vec![0, 0, 0, 4, 0, 0, 0, 0], "08P01")]
#[case([&[0, 0, 0, 9][..], &[0, 3, 0, 0, 7]].concat(), "08P01")]
#[case([&[0, 0, 0, 8][..], &[0, 2, 0, 0]].concat(), "0A000")]
fn foreign_protocol_gets_an_error(#[case] bytes: Vec<u8>, #[case] expected: &str) {
    let (node, _folder) = member();
    block_on(async {
        let mut stream = TcpStream::connect(node.address).await.unwrap();
        stream.write_all(bytes).await.0.unwrap();
        let reading = stream.read(Vec::with_capacity(1_000));
        let BufResult(_, answer) = compio::time::timeout(Duration::from_secs(5), reading)
            .await
            .unwrap();
        let next_query = open(node.address, "caller").await.query("SELECT 1").await;

        let mut frame = bytes::BytesMut::from(answer.as_slice());
        let body = frame.split_off(5).freeze();
        let error = Frame { tag: b'E', body };
        let mut encoded = bytes::BytesMut::new();
        encode(&mut encoded, error.tag, &error.body);
        assert_eq!(encoded.as_ref(), answer.as_slice());
        assert_eq!(error.sqlstate(), Some(expected));
        next_query.unwrap();
    });
}

/// Guards against an idle transaction on an abandoned connection: it would hold its locks, and
/// every other writer of the row would wait.
#[test]
fn idle_transaction_ends_and_releases_its_locks() {
    let (node, _folder) = member();
    block_on(async {
        let stream = TcpStream::connect(node.address).await.unwrap();
        let limit = [("idle_in_transaction_session_timeout", "300")];
        let mut silent = Client::open_with(stream, "caller", "orders", &limit)
            .await
            .unwrap();
        query(&mut silent, "INSERT INTO t VALUES (1)").await;
        query(&mut silent, "RESET ALL").await;
        query(&mut silent, "BEGIN").await;
        query(&mut silent, "DELETE FROM t WHERE id = 1").await;
        let mut other = open(node.address, "caller").await;

        let deleting = other.query("DELETE FROM t WHERE id = 1");
        let deleted = compio::time::timeout(Duration::from_secs(2), deleting).await;
        let last = compio::time::timeout(Duration::from_secs(2), silent.frame()).await;
        let last = last.unwrap().unwrap();

        assert!(deleted.is_ok_and(|rows| rows.is_ok()));
        assert_eq!((last.tag, last.sqlstate()), (b'E', Some("25P03")));
    });
}

/// Guards against RESET ALL that drops prepared statements; only DISCARD ALL and DEALLOCATE do so.
#[rstest]
#[case::reset("RESET ALL", "2DCZ")]
#[case::discard("DISCARD ALL", "EZ")]
fn reset_keeps_prepared_statements(#[case] sql: &str, #[case] expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(settings(folder.path()));
    block_on(async {
        let mut client = open(node.address, "anna").await;
        client.writer.parts(b'P', b"s1\0SELECT 1\0\0\0");
        client.writer.parts(b'S', &[]);
        client.writer.flush().await.unwrap();
        until_ready(&mut client).await;

        query(&mut client, sql).await;
        client.writer.parts(b'B', b"\0s1\0\0\0\0\0\0\0");
        client.writer.parts(b'E', b"\0\0\0\0\0");
        client.writer.parts(b'S', &[]);
        client.writer.flush().await.unwrap();
        let frames = until_ready(&mut client).await;

        let frames: Vec<_> = frames
            .into_iter()
            .filter(|frame| frame.tag != b'S')
            .collect();
        assert_eq!(tags(&frames), expected);
    });
}
