//! Runs the program against a server that records requests and gives prepared answers.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    process::{Command, Output, Stdio},
    sync::{Arc, Mutex},
};

use rstest::rstest;
use serde_json::{Value, json};

/// Recorded request.
#[derive(Debug, Clone, Default)]
struct Request {
    line: String,
    token: String,
    body: String,
}

/// Stand-in for a control host. An answer with status 0 closes the connection after the request.
struct Server {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl Server {
    fn start(answers: Vec<(u16, String)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&requests);
        std::thread::spawn(move || {
            for (status, answer) in answers {
                let (mut stream, _from) = listener.accept().unwrap();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut request = Request::default();
                reader.read_line(&mut request.line).unwrap();
                let mut length = 0;
                loop {
                    let mut line = String::new();
                    reader.read_line(&mut line).unwrap();
                    let lower = line.to_ascii_lowercase();
                    if let Some(value) = lower.strip_prefix("content-length:") {
                        length = value.trim().parse().unwrap();
                    }
                    if lower.starts_with("authorization:") {
                        line[14..].trim().clone_into(&mut request.token);
                    }
                    if line.trim().is_empty() {
                        break;
                    }
                }
                let mut body = vec![0; length];
                reader.read_exact(&mut body).unwrap();
                request.body = String::from_utf8(body).unwrap();
                recorded.lock().unwrap().push(request);
                if status > 0 {
                    let size = answer.len();
                    let header = format!(
                        "HTTP/1.1 {status} X\r\nContent-Length: {size}\r\nConnection: close\r\n\r\n"
                    );
                    stream.write_all((header + &answer).as_bytes()).unwrap();
                }
            }
        });
        Self { address, requests }
    }

    fn ok(answer: &Value) -> Self {
        Self::start(vec![(200, answer.to_string())])
    }

    fn requests(&self) -> Vec<Request> {
        self.requests.lock().unwrap().clone()
    }
}

/// Runs the program with the given control hosts and a token.
fn run(servers: &[SocketAddr], arguments: &[&str], input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_goldcrestrail"));
    command
        .env_clear()
        .env("GOLDCRESTRAIL_TOKEN", "secret")
        .args(arguments);
    for server in servers {
        command.arg(format!("--control={server}"));
    }
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Returns an address that refuses connections.
fn refusing_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

const SUBMIT_ARGUMENTS: [&str; 7] = [
    "config", "submit", "--base", "3", "--reason", "less lag", "-",
];

/// Guards against a command that calls another operation than is documented.
#[rstest]
#[case::status(&["status"], "GET /v1/status ", "")]
#[case::show(&["config", "show"], "GET /v1/config ", "")]
#[case::history(&["config", "history"], "GET /v1/config/history ", "")]
#[case::check(&["config", "check", "-"], "POST /v1/config/check ", "document")]
#[case::drain(&["drain", "entry-1"], "POST /v1/entries/entry-1/drain ", "")]
#[case::primary(&["primary", "valuation-1"], "POST /v1/groups/valuation-1/primary ", r#"{"change":"c1"}"#)]
#[case::member(&["primary", "g", "m"], "POST /v1/groups/g/primary ", r#"{"change":"c1","member":"m"}"#)]
#[case::remove(&["group", "remove", "g", "m"], "POST /v1/groups/g/remove ", r#"{"change":"c1","member":"m"}"#)]
#[case::allow(&["group", "allow", "g", "m"], "POST /v1/groups/g/allow ", r#"{"change":"c1","member":"m"}"#)]
fn calls_operation(#[case] arguments: &[&str], #[case] line: &str, #[case] body: &str) {
    let server = Server::ok(&json!({"document": "", "version": 1}));
    let mut arguments = arguments.to_vec();
    if ["primary", "group"].contains(&arguments[0]) {
        arguments.extend(["--change", "c1"]);
    }

    let output = run(&[server.address], &arguments, "document");

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let request = &server.requests()[0];
    assert!(request.line.starts_with(line), "{request:?}");
    assert_eq!(request.body, body);
    assert_eq!(request.token, "Bearer secret");
}

/// Guards against a change whose id the operator does not know when the answer is lost.
#[rstest]
fn submits_with_printed_id() {
    let server = Server::ok(&json!({"version": 4, "digest": "ab"}));

    let output = run(&[server.address], &SUBMIT_ARGUMENTS, "x = 1\n");

    assert_eq!(text(&output.stdout), "version 4 is accepted\n");
    let sent: Value = serde_json::from_str(&server.requests()[0].body).unwrap();
    let change = sent["change"].as_str().unwrap();
    assert!(text(&output.stderr).contains(&format!("change: {change}")));
    assert!(change.len() >= 16);
    assert_eq!(sent["base"], 3);
    assert_eq!(sent["document"], "x = 1\n");
    assert_eq!(sent["reason"], "less lag");
}

/// Guards against a resend with another id, which would make a second change.
#[rstest]
#[case::lost_answer(0)]
#[case::no_majority(503)]
#[case::partitioned(502)]
fn resends_with_same_id(#[case] status: u16) {
    let first = Server::start(vec![(
        status,
        r#"{"cause":"no majority","mend":"resend"}"#.into(),
    )]);
    let second = Server::ok(&json!({"version": 4, "digest": "ab"}));

    let output = run(
        &[refusing_address(), first.address, second.address],
        &SUBMIT_ARGUMENTS,
        "x = 1\n",
    );

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(first.requests()[0].body, second.requests()[0].body);
}

/// Guards against a lost answer that is reported as a failure of the change.
#[rstest]
#[case::lost_answer(0)]
#[case::no_majority(503)]
fn reports_unknown_outcome(#[case] status: u16) {
    let server = Server::start(vec![(status, "{}".into())]);
    let mut arguments = SUBMIT_ARGUMENTS.to_vec();
    arguments.extend(["--change", "c7"]);

    let output = run(&[server.address], &arguments, "x = 1\n");

    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        error.contains("outcome is unknown") && error.contains("--change c7"),
        "{error}"
    );
}

/// Guards against a change reported as unknown although nothing was sent.
#[rstest]
fn reports_unreachable_hosts() {
    let output = run(&[refusing_address()], &SUBMIT_ARGUMENTS, "x = 1\n");

    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        error.contains("no control host answered") && !error.contains("unknown"),
        "{error}"
    );
}

/// Guards against an error that is shown without its cause and fix, and against a retry after an
/// error that is final.
#[rstest]
#[case::invalid(400, json!({"cause": "must be positive", "mend": "raise it", "field": "a.b"}), "a.b: must be positive", "fix: raise it")]
#[case::conflict(409, json!({"cause": "version is 5", "mend": "submit against 5"}), "version is 5", "fix: submit against 5")]
#[case::unknown_operator(401, json!({}), "401", "--token-file")]
#[case::other_server(404, json!("hm"), "404", "--control")]
fn shows_error_of_server(
    #[case] status: u16,
    #[case] answer: Value,
    #[case] cause: &str,
    #[case] fix: &str,
) {
    let server = Server::start(vec![(status, answer.to_string())]);

    let output = run(
        &[server.address, refusing_address()],
        &["config", "check", "-"],
        "x",
    );

    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(error.contains(cause) && error.contains(fix), "{error}");
}

/// Guards against a document that is printed with changes.
#[rstest]
fn shows_document_byte_for_byte() {
    let document = "# Größe\r\nx = 1";
    let server = Server::ok(&json!({"version": 4, "document": document, "author": "anna"}));

    let output = run(&[server.address], &["config", "show"], "");

    assert_eq!(text(&output.stdout), document);
    assert!(text(&output.stderr).contains("version: 4"));
}

/// Guards against tables and JSON that are wrong, and against control characters in the output.
#[rstest]
fn prints_tables_and_json() {
    let status = json!({"leader": "control-1", "groups": [
        {"group": "a", "term": 3, "zones": ["z1", "z2"], "members": [{"member": "m1", "lag": 7}]},
        {"group": "b\u{1b}[2J", "term": 12},
    ]});

    let table = run(&[Server::ok(&status).address], &["status"], "");
    let json_output = run(&[Server::ok(&status).address], &["status", "--json"], "");

    let table = text(&table.stdout);
    assert!(table.contains("leader: control-1"), "{table}");
    assert!(table.lines().any(|line| line.contains("z1, z2")), "{table}");
    assert!(
        table.lines().any(|line| line.trim() == "a      m1      7"),
        "{table}"
    );
    assert!(
        !table.contains('\u{1b}'),
        "the output contains a control character"
    );
    assert_eq!(
        serde_json::from_slice::<Value>(&json_output.stdout).unwrap(),
        status
    );
}

/// Guards against a token that is sent to a process that is not a control host.
#[rstest]
fn dumps_without_token() {
    let server = Server::ok(&json!({"term": 1}));

    let output = run(&[], &["dump", &server.address.to_string()], "");

    assert_eq!(
        serde_json::from_slice::<Value>(&output.stdout).unwrap(),
        json!({"term": 1})
    );
    assert_eq!(server.requests()[0].token, "");
    assert!(server.requests()[0].line.starts_with("GET /dump "));
}

/// Guards against a token file that is ignored.
#[rstest]
fn reads_token_file() {
    let server = Server::ok(&json!({}));
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), "from-file\n").unwrap();
    let path = file.path().to_str().unwrap();

    run(&[server.address], &["status", "--token-file", path], "");

    assert_eq!(server.requests()[0].token, "Bearer from-file");
}

/// Guards against a wrong command line that is carried out, or that ends with the exit code of a
/// failed command.
#[rstest]
#[case::nothing(&[])]
#[case::unknown_command(&["explode"])]
#[case::unknown_option(&["status", "--fast"])]
#[case::no_control(&["status"])]
#[case::no_subcommand(&["config"])]
#[case::no_base(&["config", "submit", "--reason", "x", "-"])]
#[case::bad_address(&["dump", "localhost"])]
#[case::bad_name(&["drain", "../config", "--control", "127.0.0.1:1"])]
#[case::no_file(&["config", "check", "/does/not/exist", "--control", "127.0.0.1:1"])]
#[case::no_token_file(&["status", "--token-file", "/does/not/exist", "--control", "127.0.0.1:1"])]
fn refuses_wrong_usage(#[case] arguments: &[&str]) {
    let output = run(&[], arguments, "");

    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(
        error.contains("error: ") && error.contains("fix: "),
        "{error}"
    );
}

/// Guards against help that is missing or ends with an error.
#[rstest]
#[case::program(&["--help"], "primary")]
#[case::command(&["config", "submit", "--help"], "--change")]
#[case::group(&["config", "--help"], "history")]
#[case::usage_of_program(&["--help"], "Usage: goldcrestrail [OPTIONS] COMMAND")]
#[case::usage_of_command(&["status", "--help"], "Usage: goldcrestrail status [OPTIONS]")]
#[case::usage_of_group(&["config", "--help"], "Usage: goldcrestrail config [OPTIONS] COMMAND")]
#[case::usage_of_inner_command(
    &["config", "submit", "--help"],
    "Usage: goldcrestrail config submit [OPTIONS]"
)]
#[case::usage_of_removal(
    &["group", "remove", "--help"],
    "Usage: goldcrestrail group remove [OPTIONS]"
)]
#[case::version(&["--version"], env!("CARGO_PKG_VERSION"))]
fn prints_help(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = run(&[], arguments, "");

    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).contains(expected), "{output:?}");
    assert!(output.stderr.is_empty());
}
