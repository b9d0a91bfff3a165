//! Logins, and malformed input.

mod common;

use std::time::Duration;

use base::{Map, document::digest};
use common::{Caller, Harness, options, run};
use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use entry::options::Auth;
use rstest::rstest;
use wire::Frame;

/// Sends bytes and reads until the connection closes.
async fn exchange(mut stream: TcpStream, bytes: &[u8]) -> Vec<u8> {
    let BufResult(sent, _) = stream.write_all(bytes.to_vec()).await;
    sent.unwrap();
    let mut all = Vec::new();
    loop {
        let BufResult(read, part) = stream.read(Vec::with_capacity(4_096)).await;
        match read {
            Ok(1..) => all.extend(part),
            _ => return all,
        }
    }
}

fn sqlstate(frames: &[Frame]) -> &str {
    let last = frames.last().unwrap();
    assert_eq!(last.field(b'S'), Some("FATAL"));
    last.sqlstate().unwrap()
}

/// Guards against a first message that is misread, hangs, or gets no clear error.
#[rstest]
#[case::garbage(b"GET / HTTP/1.1\r\n\r\n", "54000")]
#[case::huge(b"\x7f\xff\xff\xff\0\x03\0\0", "54000")]
#[case::short(b"\0\0\0\x04", "08P01")]
#[case::negative(b"\xff\xff\xff\xff", "08P01")]
#[case::unended(b"\0\0\0\x0d\0\x03\0\0user\0", "08P01")]
#[case::old(b"\0\0\0\x08\0\x02\0\0", "0A000")]
#[case::nobody(b"\0\0\0\x09\0\x03\0\0\0", "28000")]
fn refuses_first_messages(#[case] bytes: &[u8], #[case] expected: &str) {
    run(async {
        let harness = Harness::new().await;

        let answer = exchange(harness.stream().await, bytes).await;

        let text = String::from_utf8_lossy(&answer);
        assert!(text.contains(&format!("C{expected}\0")), "{text}");
        assert_eq!(harness.caller().await.query("SELECT 1").await.rows(), ["1"]);
    });
}

/// Guards against a wrong answer to an encryption request, and against a login after it that fails.
#[rstest]
#[case::ssl(80_877_103)]
#[case::gss(80_877_104)]
fn declines_encryption(#[case] code: i32) {
    run(async {
        let harness = Harness::new().await;
        let mut stream = harness.stream().await;
        let request = [8_i32.to_be_bytes(), code.to_be_bytes()].concat();
        stream.write_all(request).await.0.unwrap();
        let BufResult(read, answer) = stream.read(Vec::with_capacity(1)).await;

        let client = wire::Client::open(stream, "anna", "orders").await.unwrap();

        assert_eq!((read.unwrap(), answer), (1, b"N".to_vec()));
        assert_eq!(Caller(client).query("SELECT 1").await.rows(), ["1"]);
    });
}

/// Guards against an invalid login that is refused without a reason, or accepted with its
/// parameters ignored.
#[rstest]
#[case::service(&[("database", "nowhere")], "ZN007")]
#[case::value(&[("goldcrestrail.token", "x")], "22023")]
#[case::name(&[("goldcrestrail.toke", "1/1")], "42704")]
#[case::options(&[("options", "-c goldcrestrail.deadline=soon")], "22023")]
#[case::encoding(&[("client_encoding", "LATIN1")], "0A000")]
#[case::replication(&[("replication", "database")], "0A000")]
fn refuses_logins(#[case] parameters: &[(&str, &str)], #[case] expected: &str) {
    run(async {
        let harness = Harness::new().await;

        let refused = harness.caller_with(parameters).await.err().unwrap();

        assert_eq!(sqlstate(&refused), expected);
    });
}

/// Guards against a session parameter that is lost in one of the three ways of setting it.
#[rstest]
#[case::startup(&[("goldcrestrail.token", "3/7")], "SELECT 1")]
#[case::options(&[("options", "-c goldcrestrail.token=3/7 --x=a\\ b")], "SELECT 1")]
#[case::set(&[], "SET goldcrestrail.token = '3/7'")]
fn accepts_tokens(#[case] parameters: &[(&str, &str)], #[case] text: &str) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller_with(parameters).await.ok().unwrap();

        caller.query(text).await;
        let shown = caller.query("SHOW goldcrestrail.token").await;
        caller.query("SELECT 1").await;

        assert_eq!(
            (shown.tags(), shown.rows()),
            ("TDCZ".into(), vec!["3/7".into()])
        );
        let needs = harness.fleet.read_requirements.borrow();
        assert_eq!(needs.last().unwrap().token.unwrap().to_string(), "3/7");
    });
}

/// Guards against a wrong password that is accepted, and against a correct one that is refused.
#[rstest]
#[case::right("anna", "secret", true)]
#[case::wrong("anna", "secreT", false)]
#[case::unknown("eve", "", false)]
fn checks_passwords(#[case] user: &str, #[case] password: &str, #[case] expected: bool) {
    run(async {
        let users = Map::from_iter([("anna".to_owned(), digest("secret"))]);
        let mut options = options();
        options.auth = Auth::Password(users);
        let harness = Harness::with(options).await;
        let body = format!("user\0{user}\0database\0orders\0\0");
        let mut bytes = Vec::new();
        bytes.extend(i32::try_from(body.len() + 8).unwrap().to_be_bytes());
        bytes.extend(196_608_i32.to_be_bytes());
        bytes.extend(body.as_bytes());
        bytes.push(b'p');
        bytes.extend(i32::try_from(password.len() + 5).unwrap().to_be_bytes());
        bytes.extend(format!("{password}\0X\0\0\0\x04").as_bytes());

        let answer = exchange(harness.stream().await, &bytes).await;

        assert_eq!(&answer[..9], b"R\0\0\0\x08\0\0\0\x03");
        let text = String::from_utf8_lossy(&answer);
        assert_eq!(text.contains("C28P01\0"), !expected, "{text}");
        assert_eq!(text.contains("server_version"), expected, "{text}");
    });
}

/// Guards against incomplete logins that stay connected forever.
#[test]
fn login_ends_in_time() {
    run(async {
        let mut options = options();
        options.login_timeout = Duration::from_millis(50);
        let harness = Harness::with(options).await;

        let answer = exchange(harness.stream().await, b"\0\0\0\x20\0\x03").await;

        assert_eq!(answer, b"");
    });
}

/// Guards against an oversized or malformed message: its session must end with a clear error, and
/// other callers must not be affected.
#[rstest]
#[case::oversized(b"Q\x7f\xff\xff\xff", "54000")]
#[case::unknown(b"!\0\0\0\x04", "08P01")]
#[case::short(b"B\0\0\0\x05\0", "08P01")]
#[case::negative(b"Q\xff\xff\xff\xff", "08P01")]
#[case::password(b"p\0\0\0\x05\0", "08P01")]
fn ends_sessions_on_garbage(#[case] bytes: &[u8], #[case] expected: &str) {
    run(async {
        let harness = Harness::new().await;
        let (mut caller, mut other) = (harness.caller().await, harness.caller().await);

        caller.0.writer.bytes(bytes);
        caller.0.writer.flush().await.unwrap();
        let reply = caller.reply().await;

        assert_eq!(
            (reply.tags(), reply.sqlstate()),
            ("E".into(), expected.into())
        );
        assert_eq!(other.query("SELECT 1").await.rows(), ["1"]);
    });
}

/// Guards against a batch without a Sync that is buffered without bound.
#[test]
fn bounds_batches() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        for _ in 0..10_000 {
            caller.add(b'E', b"\0\0\0\0\0");
        }
        let reply = caller.sync().await;

        assert_eq!(
            (reply.tags(), reply.sqlstate()),
            ("EZ".into(), "54000".into())
        );
        assert_eq!(caller.query("SELECT 1").await.rows(), ["1"]);
    });
}

/// Guards against a caller over the limit that is served, or that is disconnected without a reason.
#[test]
fn limits_callers() {
    run(async {
        let mut options = options();
        options.max_callers = 1;
        let harness = Harness::with(options).await;
        let _first = harness.caller().await;

        let refused = harness.caller_with(&[]).await.err().unwrap();

        assert_eq!(sqlstate(&refused), "53300");
    });
}

/// Guards against parameters that are not reported at login: libpq then asked the server whether
/// the session can write, and got the answer of a replica.
#[rstest]
#[case::writable("default_transaction_read_only", "off")]
#[case::primary("in_hot_standby", "off")]
#[case::intervals("IntervalStyle", "postgres")]
#[case::user("session_authorization", "anna")]
#[case::program("application_name", "psql")]
fn reports_parameters_at_login(#[case] name: &str, #[case] expected: &str) {
    run(async {
        let harness = Harness::new().await;
        let mut body = 196_608_i32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0anna\0database\0orders\0application_name\0psql\0\0");
        let length = i32::try_from(body.len() + 4).unwrap();
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(body);
        bytes.extend_from_slice(b"X\0\0\0\x04");

        let answer = exchange(harness.stream().await, &bytes).await;

        let text = String::from_utf8_lossy(&answer);
        assert!(text.contains(&format!("{name}\0{expected}\0")), "{text}");
    });
}

/// Guards against an `application_name` that is accepted but not kept.
#[test]
fn keeps_the_application_name() {
    run(async {
        let harness = Harness::new().await;
        let login = harness.caller_with(&[("application_name", "first")]).await;
        let mut caller = login.unwrap();

        let set = caller.query("SET application_name = 'second'").await;
        let shown = caller.query("SHOW application_name").await;
        caller.query("RESET application_name").await;
        let reset = caller.query("SHOW application_name").await;

        assert_eq!(set.tags(), "SCZ");
        assert_eq!(
            set.0[0].parameter_status(),
            Some(("application_name", "second"))
        );
        assert_eq!(shown.rows(), ["second"]);
        assert_eq!(reset.rows(), ["first"]);
        assert_eq!(harness.fleet.replica.times_run("application_name"), 0);
    });
}

/// Guards against a session that reports itself as read-only because a replica answered.
#[rstest]
#[case::show("SHOW transaction_read_only", &["off"], 0)]
#[case::show_default("SHOW default_transaction_read_only", &["off"], 0)]
#[case::standby("SHOW in_hot_standby", &["off"], 0)]
#[case::recovery("SELECT pg_is_in_recovery()", &["1"], 1)]
fn session_can_write(#[case] text: &str, #[case] rows: &[&str], #[case] primary: usize) {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        let reply = caller.query(text).await;

        assert_eq!(reply.rows(), rows);
        assert_eq!(harness.fleet.primary.times_run(text), primary);
        assert_eq!(harness.fleet.replica.times_run(text), 0);
    });
}

/// Guards against a session that its caller made read-only and that reports itself as writable.
#[test]
fn read_only_default_is_asked_of_the_database() {
    run(async {
        let harness = Harness::new().await;
        let mut caller = harness.caller().await;

        caller.query("SET default_transaction_read_only = on").await;
        caller.query("SHOW transaction_read_only").await;

        assert_eq!(harness.fleet.replica.times_run("SHOW"), 1);
    });
}

/// Guards against a caller that assumes a newer minor version or protocol options are supported
/// because the server did not negotiate them.
#[rstest]
#[case::plain(b"\0\x03\0\0", "", None)]
#[case::minor(b"\0\x03\0\x02", "", Some("\0\x03\0\0\0\0\0\0"))]
#[case::highest(b"\0\x03\x27\x0f", "", Some("\0\x03\0\0\0\0\0\0"))]
#[case::option(
    b"\0\x03\0\0",
    "_pq_.b\0on\0_pq_.a\0on\0",
    Some("\0\x03\0\0\0\0\0\x02_pq_.a\0_pq_.b\0")
)]
fn negotiates_the_protocol(
    #[case] version: &[u8],
    #[case] options: &str,
    #[case] expected: Option<&str>,
) {
    run(async {
        let harness = Harness::new().await;
        let parameters = format!("user\0anna\0database\0orders\0{options}\0");
        let length = u32::try_from(8 + parameters.len()).unwrap();
        let startup = [&length.to_be_bytes(), version, parameters.as_bytes()].concat();

        let answer = exchange(
            harness.stream().await,
            &[&startup, &b"X\0\0\0\x04"[..]].concat(),
        )
        .await;

        let login = match expected {
            Some(body) => {
                let length = u32::try_from(4 + body.len()).unwrap();
                let message = [b"v", &length.to_be_bytes()[..], body.as_bytes()].concat();
                answer.strip_prefix(message.as_slice()).unwrap_or_default()
            }
            None => &answer,
        };
        assert!(login.starts_with(b"R\0\0\0\x08\0\0\0\0"), "{answer:?}");
    });
}
