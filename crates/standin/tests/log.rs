//! The log file.

mod common;

use std::{fs, io::Write as _, rc::Rc};

use common::{TestMember, settings};
use proptest::prelude::*;
use standin::{
    log::{Entry, Record, encode, parse},
    table::{Change, Column, Schema},
    value::{Type, Value},
};

fn value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::Bool),
        any::<i64>().prop_map(Value::Int),
        ".{0,20}".prop_map(|text| Value::text(&text)),
    ]
}

fn values() -> impl Strategy<Value = Rc<[Value]>> {
    proptest::collection::vec(value(), 0..5).prop_map(Rc::from)
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        "[a-z]{1,8}".prop_map(|name| Change::Create(Rc::new(Schema {
            name: name.as_str().into(),
            columns: vec![Column {
                name: "id".into(),
                kind: Type::Int8,
                required: true,
                default: Value::Null,
            }],
            key: vec![0],
        }))),
        "[a-z]{1,8}".prop_map(|name| Change::Drop(name.as_str().into())),
        ("[a-z]{1,8}", values(), values()).prop_map(|(name, key, row)| Change::Put(
            name.as_str().into(),
            key,
            row
        )),
        ("[a-z]{1,8}", values()).prop_map(|(name, key)| Change::Delete(name.as_str().into(), key)),
    ]
}

fn record() -> impl Strategy<Value = Record> {
    prop_oneof![
        "[0-9a-f]{16}".prop_map(Record::Store),
        (
            any::<u64>(),
            any::<u64>(),
            proptest::collection::vec(change(), 0..4)
        )
            .prop_map(|(term, offset, changes)| Record::Entry(Entry {
                term,
                offset,
                changes
            })),
        any::<u64>().prop_map(Record::Lead),
        any::<u64>().prop_map(|term| Record::Follow(term, "127.0.1.61:5432".parse().unwrap())),
        (
            any::<u64>(),
            any::<u64>(),
            proptest::collection::vec(any::<(u64, u64)>(), 0..4)
        )
            .prop_map(|(term, offset, terms)| Record::Adopt {
                term,
                offset,
                terms
            }),
    ]
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    proptest::collection::vec(record(), 0..8)
}

fn encode_all(records: &[Record]) -> Vec<u8> {
    records.iter().flat_map(encode).collect()
}

proptest! {
    /// Guards against a record that changes in a round trip, and against a torn write that loses
    /// complete records before it.
    #[test]
    fn torn_file_keeps_complete_records(records in records(), cut in any::<prop::sample::Index>()) {
        let bytes = encode_all(&records);
        let cut = cut.index(bytes.len() + 1);

        let whole = parse(&bytes);
        let torn = parse(&bytes[..cut]);

        let read: Vec<_> = whole.records.into_iter().map(|(_, record)| record).collect();
        prop_assert_eq!(&read, &records);
        let ends: Vec<usize> = (0..=records.len()).map(|n| encode_all(&records[..n]).len()).collect();
        let kept = ends.iter().filter(|end| **end <= cut).count() - 1;
        prop_assert_eq!(torn.records.len(), kept);
        prop_assert_eq!(torn.length, ends[kept] as u64);
        prop_assert_eq!(torn.damaged, None);
    }

    /// Guards against a corrupt record that is accepted, and against one in mid-file that is
    /// truncated together with the valid records after it.
    #[test]
    fn corrupt_record_is_detected(
        records in proptest::collection::vec(record(), 2..8),
        at in any::<prop::sample::Index>(),
        flip in 1u8..,
    ) {
        let last = encode(&records[records.len() - 1]).len();
        let mut bytes = encode_all(&records);
        // The length field is not changed: a wrong length looks like a torn write.
        let first = encode(&records[0]).len();
        let i = 4 + at.index(first - 4);
        bytes[i] ^= flip;

        let parsed = parse(&bytes);

        prop_assert!(last > 0);
        prop_assert_eq!(parsed.damaged, Some(0));
        prop_assert!(parsed.records.is_empty());
    }

    /// Guards against a panic or an endless loop on arbitrary content.
    #[test]
    fn arbitrary_content_is_parsed(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let parsed = parse(&bytes);

        prop_assert!(parsed.length <= bytes.len() as u64);
    }
}

/// Guards against a member that does not start after a torn write, or that appends after the torn
/// bytes.
#[tokio::test]
async fn torn_write_is_truncated_at_start() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("log");
    let node = TestMember::start(settings(folder.path()));
    node.manage("PROMOTE TERM 1").await.unwrap();
    let client = node.client().await;
    client
        .batch_execute("CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    client
        .batch_execute("INSERT INTO t VALUES (2)")
        .await
        .unwrap();
    drop(client);
    node.kill();
    let length = fs::metadata(&path).unwrap().len();
    let file = fs::OpenOptions::new().write(true).open(&path).unwrap();
    file.set_len(length - 3).unwrap();

    let node = TestMember::start(settings(folder.path()));
    let found = node.position().await.to_string();
    let client = node.client().await;
    client
        .batch_execute("INSERT INTO t VALUES (3)")
        .await
        .unwrap();
    drop(client);
    node.kill();
    let node = TestMember::start(settings(folder.path()));
    let rows = node
        .client()
        .await
        .query("SELECT id FROM t", &[])
        .await
        .unwrap();

    let ids: Vec<i32> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(found, "1/1");
    assert_eq!(ids, [1, 3]);
}

/// Guards against trailing zeros in the log file that keep a member from starting.
#[tokio::test]
async fn trailing_zeros_are_truncated_at_start() {
    let folder = tempfile::tempdir().unwrap();
    let node = TestMember::start(settings(folder.path()));
    node.manage("PROMOTE TERM 1").await.unwrap();
    node.kill();
    let path = folder.path().join("log");
    let length = fs::metadata(&path).unwrap().len();
    let mut file = fs::OpenOptions::new().append(true).open(&path).unwrap();
    file.write_all(&[0; 100]).unwrap();

    let node = TestMember::start(settings(folder.path()));

    assert_eq!(node.position().await.to_string(), "1/0");
    assert_eq!(fs::metadata(&path).unwrap().len(), length);
}
