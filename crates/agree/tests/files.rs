//! Tests of the log parser, and of the data directory on a real disk.

mod single;

use std::{fs, time::Duration};

use agree::{Entry, Frame, StartError, parse_log};
use proptest::prelude::*;
use rstest::rstest;
use single::{start, wait_until_leader};

/// Guards against files that a restarted process cannot read completely.
#[rstest]
#[compio::test]
async fn keeps_log_on_disk() {
    let data = tempfile::tempdir().unwrap();
    agree::format(data.path(), "a").unwrap();
    for round in 0_u64..3 {
        let node = start(data.path(), "a", true).unwrap();
        wait_until_leader(&node).await;

        let (_index, answer) = node.propose(b"add".to_vec()).await.unwrap();

        assert_eq!(answer, (round + 1).to_string().into_bytes());
        node.stop().await;
    }
}

/// Guards against long configurations that fill the disk and the links between regions.
#[rstest]
#[compio::test]
async fn long_texts_are_stored_compressed() {
    let data = tempfile::tempdir().unwrap();
    agree::format(data.path(), "a").unwrap();
    let routes = (0..2_000).map(|i| format!("{{\"Name\":\"r-{i}\",\"TimeoutMs\":800}},"));
    let text: String = routes.collect();
    let node = start(data.path(), "a", true).unwrap();
    wait_until_leader(&node).await;

    node.propose(text.clone().into_bytes()).await.unwrap();
    let stored = node.stored_bytes();
    node.stop().await;
    let restarted = start(data.path(), "a", true).unwrap();
    wait_until_leader(&restarted).await;
    let (_index, answer) = restarted.propose(b"add".to_vec()).await.unwrap();
    restarted.stop().await;

    assert!(stored * 4 < text.len() as u64, "{stored} of {}", text.len());
    assert_eq!(answer, b"2");
}

/// Guards against two processes that write to one data directory.
#[rstest]
#[compio::test]
async fn locks_data_directory() {
    let data = tempfile::tempdir().unwrap();
    agree::format(data.path(), "a").unwrap();
    let first = start(data.path(), "a", true).unwrap();

    let second = start(data.path(), "a", true);

    assert!(matches!(second, Err(StartError::Locked(_))), "{second:?}");
    first.stop().await;
}

/// Guards against a disk that is moved to another host, which would then run with the log and votes
/// of the first host.
#[rstest]
#[compio::test]
async fn refuses_disk_of_other_host() {
    let data = tempfile::tempdir().unwrap();
    agree::format(data.path(), "b").unwrap();

    let outcome = start(data.path(), "a", false);

    assert!(
        matches!(outcome, Err(StartError::Options(_))),
        "{outcome:?}"
    );
}

/// Guards against an empty disk that is treated as a founding member's disk, although the host may
/// have lost its log and votes.
#[rstest]
#[compio::test]
async fn empty_directory_is_learner() {
    let data = tempfile::tempdir().unwrap();

    let node = start(data.path(), "a", true).unwrap();

    assert!(node.is_learner());
    compio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(node.leader(), None);
    node.stop().await;
}

/// Guards against `--format` that erases the term and vote of a host.
#[rstest]
#[compio::test]
async fn refuses_to_format_twice() {
    let data = tempfile::tempdir().unwrap();
    start(data.path(), "a", true).unwrap().stop().await;

    // A write that the disk has not finished when the host stops keeps the directory locked.
    let mut outcome = agree::format(data.path(), "a");
    let begin = std::time::Instant::now();
    while matches!(outcome, Err(StartError::Locked(_))) && begin.elapsed() < Duration::from_secs(10)
    {
        compio::time::sleep(Duration::from_millis(20)).await;
        outcome = agree::format(data.path(), "a");
    }

    assert!(
        matches!(outcome, Err(StartError::NotEmpty(_))),
        "{outcome:?}"
    );
}

/// Guards against a torn record at the end of the log that prevents the host from starting.
#[rstest]
#[compio::test]
async fn drops_torn_record() {
    let data = tempfile::tempdir().unwrap();
    agree::format(data.path(), "a").unwrap();
    let node = start(data.path(), "a", true).unwrap();
    wait_until_leader(&node).await;
    node.propose(b"add".to_vec()).await.unwrap();
    node.stop().await;
    drop(node);
    let log = data.path().join("log");
    let mut bytes = fs::read(&log).unwrap();
    let extra = Frame {
        commit: 9,
        entries: Vec::new(),
    }
    .encode();
    bytes.extend(&extra[..extra.len() - 3]);
    fs::write(&log, bytes).unwrap();

    let node = start(data.path(), "a", true).unwrap();
    wait_until_leader(&node).await;
    let (_index, answer) = node.propose(b"add".to_vec()).await.unwrap();

    assert_eq!(answer, b"2");
    node.stop().await;
    drop(node);
    assert!(
        !parse_log(&fs::read(&log).unwrap()).unwrap().torn,
        "the torn record is still in the log"
    );
}

fn frames() -> impl Strategy<Value = Vec<Frame>> {
    let payload = prop::collection::vec(any::<u8>(), 0..1_200);
    let entries = prop::collection::vec((any::<u64>(), payload), 0..5);
    prop::collection::vec((any::<u64>(), any::<u32>(), entries), 1..5).prop_map(|frames| {
        let frame = |(commit, first, entries): (u64, u32, Vec<(u64, Vec<u8>)>)| Frame {
            commit,
            entries: (u64::from(first)..)
                .zip(entries)
                .map(|(index, (term, payload))| Entry {
                    index,
                    term,
                    payload: payload.into(),
                })
                .collect(),
        };
        frames.into_iter().map(frame).collect()
    })
}

fn encode(frames: &[Frame]) -> Vec<u8> {
    frames.iter().flat_map(Frame::encode).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a parser that returns other frames than were written.
    #[test]
    fn reads_what_was_written(frames in frames()) {
        let file = parse_log(&encode(&frames)).unwrap();

        prop_assert_eq!(file.frames, frames);
        prop_assert!(!file.torn);
    }

    /// Guards against a truncated file that is refused, or that yields more or less than its
    /// complete frames.
    #[test]
    fn reads_complete_frames_of_truncated_file(frames in frames(), cut: prop::sample::Index) {
        let bytes = encode(&frames);
        let length = cut.index(bytes.len());

        let file = parse_log(&bytes[..length]).unwrap();

        let complete_length = encode(&file.frames).len();
        prop_assert_eq!(&*file.frames, &frames[..file.frames.len()]);
        prop_assert_eq!(file.torn, complete_length < length);
        if file.frames.len() < frames.len() {
            prop_assert!(complete_length + frames[file.frames.len()].encode().len() > length);
        }
    }

    /// Guards against a flipped bit that is not detected.
    #[test]
    fn detects_flipped_bit(frames in frames(), at: prop::sample::Index, bit in 0_u8..8) {
        let mut bytes = encode(&frames);
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;

        let outcome = parse_log(&bytes);

        // A damaged last frame that contains a sector of zeros cannot be distinguished from a torn
        // one.
        let torn = outcome.as_ref().is_ok_and(|file| file.torn);
        prop_assert!(outcome.is_err() || torn, "{:?}", outcome);
        if torn {
            prop_assert!(bytes.chunks(512).any(|sector| sector.iter().all(|byte| *byte == 0)));
        }
    }

    /// Guards against a panic, an endless loop or a huge allocation on arbitrary bytes.
    #[test]
    fn never_panics(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let _outcome = parse_log(&bytes);
    }
}
