//! Parsing of messages from untrusted peers.

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use wire::{Frame, FrontendMessage, InitialMessage, Target};

fn frame(tag: u8, body: &[u8]) -> Frame {
    Frame {
        tag,
        body: Bytes::copy_from_slice(body),
    }
}

/// Guards against a message that is parsed as another one.
#[rstest]
#[case::query(b'Q', b"select 1\0", FrontendMessage::Query("select 1".into()))]
#[case::sync(b'S', b"", FrontendMessage::Sync)]
#[case::close(b'C', b"Ss1\0", FrontendMessage::Close(Target::Statement("s1".into())))]
#[case::execute(b'E', b"\0\0\0\0\x05", FrontendMessage::Execute { portal: String::new(), rows: 5 })]
fn reads_each_message(#[case] tag: u8, #[case] body: &[u8], #[case] expected: FrontendMessage) {
    let message = frame(tag, body);

    let found = FrontendMessage::parse(&message).unwrap();

    assert_eq!(found, expected);
}

/// Guards against a truncated or malformed body that is accepted as a message.
#[rstest]
#[case::no_end(b'Q', b"select 1")]
#[case::short_bind(b'B', b"\0\0\0\x01")]
#[case::unknown(b'!', b"")]
#[case::negative_value(b'B', b"\0\0\0\0\0\x01\xff\xff\xff\xfe\0\0")]
fn rejects_malformed(#[case] tag: u8, #[case] body: &[u8]) {
    let message = frame(tag, body);

    let found = FrontendMessage::parse(&message);

    assert!(found.is_err(), "{found:?}");
}

proptest! {
    /// Guards against a panic on untrusted messages.
    #[test]
    fn never_panics_on_messages(tag: u8, body: Vec<u8>) {
        let _outcome = FrontendMessage::parse(&frame(tag, &body));
        let garbage = frame(tag, &body);
        let _fields = (garbage.parameter_status(), garbage.sqlstate(), garbage.command_tag(), garbage.transaction_status());
    }

    /// Guards against a panic on the first bytes of a connection.
    #[test]
    fn never_panics_on_initial_messages(body: Vec<u8>) {
        let _outcome = InitialMessage::parse(&body);
    }
}
