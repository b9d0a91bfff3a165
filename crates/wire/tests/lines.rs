//! Lines of a stream.

use compio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
};
use rstest::rstest;
use wire::{Reader, WireError};

/// Sends `parts` one after the other, closes the connection, and returns what the reader makes of
/// them.
async fn read_lines(parts: &[&str], limit: usize) -> Result<Vec<String>, WireError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (receiver, _from) = listener.accept().await.unwrap();
    let parts: Vec<_> = parts.iter().map(|part| (*part).to_owned()).collect();
    let sending = compio::runtime::spawn(async move {
        for part in parts {
            sender.write_all(part).await.0.unwrap();
            compio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
    let mut reader = Reader::new(receiver, limit);
    let mut lines = Vec::new();
    while let Some(line) = reader.next_line().await? {
        lines.push(String::from_utf8(line.to_vec()).unwrap());
    }
    sending.await.unwrap();
    Ok(lines)
}

/// Guards against a text that is cut off at a line break of its own, so that its rest is read as
/// another message.
#[rstest]
#[case::plain(&["a b\r\n", "c\r\n"], &["a b", "c"])]
#[case::line_feed(&["a\nQUERY 1 x\r\nc\r\n"], &["a\nQUERY 1 x", "c"])]
#[case::carriage_return(&["a\rb\r\n"], &["a\rb"])]
#[case::carriage_return_at_the_end(&["a\r\r\n"], &["a\r"])]
#[case::line_feed_first(&["\na\n\r\n"], &["\na\n"])]
#[case::empty(&["\r\n\r\n"], &["", ""])]
#[case::end_in_two_parts(&["a\r", "\nb\r\n"], &["a", "b"])]
#[case::many_parts(&["a", "\n", "b", "\r", "c\r", "\n"], &["a\nb\rc"])]
#[compio::test]
async fn only_cr_lf_ends_a_line(#[case] parts: &[&str], #[case] expected: &[&str]) {
    assert_eq!(read_lines(parts, 100).await.unwrap(), expected);
}

/// Guards against a line that is taken as complete when the connection ends in it.
#[rstest]
#[case("a\n")]
#[case("a\r")]
#[compio::test]
async fn line_without_its_end_is_refused(#[case] part: &str) {
    let result = read_lines(&[part], 100).await;

    assert!(matches!(result, Err(WireError::ConnectionClosed)));
}

/// Guards against unlimited memory for a line that never ends.
#[compio::test]
async fn endless_line_is_refused() {
    let result = read_lines(&["ab\ncd\nef"], 5).await;

    assert!(matches!(result, Err(WireError::TooLarge { .. })));
}
