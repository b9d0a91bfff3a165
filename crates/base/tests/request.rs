//! Requests to services that act on whatever arrives, however late.

use std::{
    io::{self, Read as _},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use base::request::{Request, SendError, send};

const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const LIMIT: Duration = Duration::from_millis(200);

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((HOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn request() -> Request<'static> {
    Request {
        method: "POST",
        path: "/act",
        headers: Vec::new(),
        body: "{}".to_owned(),
    }
}

/// Reads until the connection ends, and returns the bytes and how it ended.
fn read_all(mut stream: TcpStream) -> (Vec<u8>, io::Result<()>) {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes);
    (bytes, end.map(drop))
}

/// Guards against an order of a host that was frozen while it connected, and no longer leads.
#[compio::test]
async fn nothing_is_sent_once_the_request_is_no_longer_valid() {
    let (listener, to) = listen();

    let sent = send(HOST, to, &request(), LIMIT, || false).await;

    let (bytes, _end) = read_all(listener.accept().unwrap().0);
    assert!(matches!(sent, Err(SendError::Unsent(_))), "{sent:?}");
    assert!(bytes.is_empty());
}

/// Guards against a request that arrives after it was given up: a closed connection still delivers what
/// a cut link held up, a reset one does not.
#[compio::test]
async fn request_without_an_answer_is_reset() {
    let (listener, to) = listen();

    let reader = std::thread::spawn(move || read_all(listener.accept().unwrap().0));

    let sent = send(HOST, to, &request(), LIMIT, || true).await;

    compio::time::sleep(LIMIT).await;
    let (_bytes, end) = reader.join().unwrap();
    assert!(matches!(sent, Err(SendError::Unanswered(_))), "{sent:?}");
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}
