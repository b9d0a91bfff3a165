//! Faults of the failure model, one at a time and at each step.

mod cluster;

use std::time::Duration;

use agree::{
    StartError,
    environment::File,
    message::{AppendRequest, Identity, VoteRequest},
};
use cluster::{Cluster, Files, Kill, Step};
use rstest::rstest;

const SECONDS: Duration = Duration::from_secs(5);

fn follower(all: &mut Cluster) -> usize {
    let leader = all.leader();
    (leader + 1) % all.size
}

/// A cluster whose nodes take snapshots after a few entries.
fn compacting(seed: u64) -> Cluster {
    let mut all = Cluster::new(seed, 3, Vec::new());
    all.tuning.snapshot_threshold_bytes = 300;
    all.tuning.trailing_entries = 3;
    all.tuning.snapshot_chunk_bytes = 200;
    for host in 0..3 {
        all.start(host);
    }
    all
}

/// Guards against a cluster that elects no leader or acknowledges nothing.
#[rstest]
fn elects_and_replicates(#[values(1, 3, 5)] size: usize) {
    let mut all = Cluster::new(1, size, Vec::new());

    for _ in 0..20 {
        all.write();
    }
    all.converge();

    all.assert_correct();
    assert_eq!(all.commands(size - 1).len(), 20);
}

/// Guards against a new leader that gives up before its first heartbeat round can end.
#[rstest]
fn keeps_leader_on_slow_disks(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut all = Cluster::new(seed, 3, Vec::new());
    for host in 0..3 {
        all.slow_disk(host, Duration::from_millis(300));
    }
    let leader = all.leader();
    let term = all.node(leader).term();

    all.run(2 * SECONDS);
    all.write();

    assert_eq!((all.leader(), all.node(leader).term()), (leader, term));
    all.assert_correct();
}

/// Guards against a large entry that holds up heartbeats, or that never fits into the deadline of
/// a call.
#[rstest]
fn carries_large_entries(#[values(1, 2, 3)] seed: u64) {
    let mut all = Cluster::new(seed, 3, Vec::new());
    all.world.rate.set(1_900_000);
    let leader = all.leader();
    let term = all.node(leader).term();

    for _ in 0..3 {
        let node = all.node(leader);
        let large = async move { node.propose(vec![7; 2 << 20]).await };
        all.block(SECONDS, large).unwrap().unwrap();
    }

    assert_eq!((all.leader(), all.node(leader).term()), (leader, term));
    all.converge();
    all.assert_correct();
}

/// Guards against a kill in the middle of a write that loses an acknowledged entry, a vote, or
/// leaves files that do not start again.
#[rstest]
fn survives_kill_at_each_step(
    #[values(File::State, File::Snapshot, File::Log)] file: File,
    #[values(Step::Write, Step::Sync, Step::Reply)] step: Step,
    #[values(true, false)] leads: bool,
    #[values(1, 2, 3)] count: u32,
) {
    let mut all = compacting(u64::from(count));
    all.write();
    let leader = all.leader();
    let victim = if leads { leader } else { (leader + 1) % 3 };
    let kill = Kill { file, step, count };
    if file == File::State {
        // The state file is written at the start and in elections.
        all.start(victim);
    }
    all.kill_at(victim, kill);

    for round in 0..1_000 {
        all.write();
        if !all.alive(victim) {
            break;
        }
        if file == File::State && round % 10 == 9 {
            let leader = all.leader();
            all.isolate(leader);
            all.run(SECONDS);
            all.heal();
        }
    }
    assert!(!all.alive(victim), "the kill happened");
    all.start(victim);
    all.write();
    all.converge();

    all.assert_correct();
}

/// Guards against a replaced host that never regains its vote, or gets it under its old identity.
#[rstest]
fn readmits_lost_disk(#[values(true, false)] leads: bool) {
    let mut all = compacting(3);
    for _ in 0..30 {
        all.write();
    }
    let leader = all.leader();
    let victim = if leads { leader } else { (leader + 1) % 3 };

    all.crash(victim);
    all.replace_files(victim, Files::new());
    all.start(victim);
    let learner = all.node(victim).is_learner();
    all.write();
    all.converge();

    all.assert_correct();
    assert!(learner);
    assert_ne!(all.node(victim).dump()["incarnation"], 0);
    assert_eq!(all.commands(victim), all.commands((victim + 1) % 3));
}

/// Guards against readmissions that work once only: every disk is lost in turn, twice.
#[rstest]
fn readmits_every_host_in_turn() {
    let mut all = compacting(4);

    for round in 0..6 {
        all.write();
        all.converge();
        let victim = round % 3;
        all.crash(victim);
        all.replace_files(victim, Files::new());
        all.start(victim);
    }
    all.write();
    all.converge();

    all.assert_correct();
}

/// Guards against a quorum that is only half as large as it seems: after the second host is lost
/// nothing may be committed until it returns.
#[rstest]
fn waits_when_second_host_is_lost() {
    let mut all = Cluster::new(5, 3, Vec::new());
    all.write();
    let leader = all.leader();
    let repaired = (leader + 1) % 3;
    all.crash(repaired);
    all.replace_files(repaired, Files::new());
    all.crash(leader);
    all.start(repaired);

    all.run(4 * SECONDS);

    assert_eq!(all.find_leader(), None);
    all.start(leader);
    all.write();
    all.converge();
    all.assert_correct();
}

/// Guards against a disk from a backup that answers as if it held what its host acknowledged.
#[rstest]
#[case::from_earlier_boot(true)]
#[case::from_this_boot(false)]
fn demotes_old_disk(#[case] rebooted: bool) {
    let mut all = compacting(6);
    all.write();
    let victim = follower(&mut all);
    let copy = all.files(victim);
    if rebooted {
        all.start(victim);
    }
    all.run(SECONDS);
    for _ in 0..10 {
        all.write();
    }

    all.crash(victim);
    all.replace_files(victim, copy);
    all.start(victim);
    all.run(SECONDS);
    all.converge();

    all.assert_correct();
    assert_ne!(
        all.node(victim).dump()["incarnation"],
        0,
        "readmitted as another disk"
    );
}

/// Guards against `--format` on a replaced disk, which would pass an empty log off as a founding
/// one.
#[rstest]
fn demotes_reformatted_disk() {
    let mut all = compacting(17);
    for _ in 0..10 {
        all.write();
    }
    let victim = follower(&mut all);
    all.run(SECONDS);
    all.crash(victim);
    let hard = agree::HardState::new(format!("control-{victim}"), 0);
    all.replace_files(victim, Files::from([(File::State, hard.encode())]));

    all.start(victim);
    all.run(SECONDS);
    all.converge();

    all.assert_correct();
    assert_ne!(all.node(victim).dump()["incarnation"], 0);
}

/// Guards against a former disk that comes back after its replacement was readmitted.
#[rstest]
fn demotes_replaced_disk() {
    let mut all = compacting(7);
    all.write();
    let victim = follower(&mut all);
    all.crash(victim);
    let former = all.files(victim);
    all.replace_files(victim, Files::new());
    all.start(victim);
    all.write();
    all.converge();
    let second = all.node(victim).dump()["incarnation"].clone();

    all.crash(victim);
    all.replace_files(victim, former);
    all.start(victim);
    all.run(SECONDS);
    all.converge();

    all.assert_correct();
    let third = all.node(victim).dump()["incarnation"].clone();
    assert!(third != second && third != 0, "{third}");
}

/// Guards against two sides of a partition that both elect, and a tie that is never resolved.
#[rstest]
fn resolves_split_votes(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut all = Cluster::new(seed, 5, Vec::new());
    all.write();
    let leader = all.leader();
    all.crash(leader);
    let rest: Vec<_> = (0..5).filter(|host| *host != leader).collect();
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        all.cut(rest[a], rest[b]);
    }

    all.run(2 * SECONDS);
    let split = all.find_leader();
    all.heal();
    all.write();
    all.start(leader);
    all.converge();

    assert_eq!(split, None);
    all.assert_correct();
}

/// Guards against a host that keeps stale state, or disturbs the others, after a long partition.
#[rstest]
fn catches_up_after_long_partition(#[values(true, false)] leads: bool) {
    let mut all = compacting(8);
    all.write();
    let leader = all.leader();
    let cut = if leads { leader } else { (leader + 1) % 3 };
    all.isolate(cut);
    let pending = leads.then(|| all.submit(cut, false));
    all.run(SECONDS);
    for _ in 0..200 {
        all.write();
    }
    let term = all.node(all.find_leader().unwrap()).term();

    all.heal();
    all.converge();

    all.assert_correct();
    let now = all.leader();
    assert_eq!(
        all.node(now).term(),
        term,
        "the returned host started no election"
    );
    if let Some(payload) = pending {
        assert!(
            !all.commands(cut)
                .iter()
                .any(|(_, command)| *command == payload)
        );
    }
}

/// Guards against a restart that restores a superseded state, with and without snapshots.
#[rstest]
fn keeps_hundreds_of_changes(#[values(true, false)] snapshots: bool) {
    let mut all = if snapshots {
        compacting(9)
    } else {
        Cluster::new(9, 3, Vec::new())
    };
    for round in 0..400 {
        all.write();
        if round % 100 == 50 {
            for host in 0..3 {
                all.crash(host);
            }
            for host in 0..3 {
                all.start(host);
            }
        }
    }
    all.run(SECONDS);

    for host in 0..3 {
        all.crash(host);
    }
    all.start(0);
    let alone = all.commands(0).len();
    all.start(1);
    all.start(2);
    all.write();
    all.converge();

    all.assert_correct();
    assert_eq!(
        alone, 400,
        "a host alone serves what it knew to be committed"
    );
    assert_eq!(all.commands(2).len(), 401);
}

/// Guards against a transfer that leaves half a snapshot behind or never ends.
#[rstest]
#[case::receiver_before_write(Some(Step::Write))]
#[case::receiver_before_sync(Some(Step::Sync))]
#[case::receiver_before_reply(Some(Step::Reply))]
#[case::sender(None)]
fn survives_interrupted_snapshot(#[case] step: Option<Step>) {
    let mut all = compacting(10);
    let victim = follower(&mut all);
    all.crash(victim);
    for _ in 0..100 {
        all.write();
    }
    all.start(victim);
    if let Some(step) = step {
        all.kill_at(
            victim,
            Kill {
                file: File::Snapshot,
                step,
                count: 1,
            },
        );
        assert!(
            all.run_until(2 * SECONDS, |all| !all.alive(victim)),
            "the kill happened"
        );
    } else {
        let before = all.world.chunks.get();
        assert!(all.run_until(2 * SECONDS, |all| all.world.chunks.get() > before + 3));
    }
    let sender = all.leader();
    all.crash(sender);
    all.run(Duration::from_millis(100));

    all.start(victim);
    all.start(sender);
    all.write();
    all.converge();

    all.assert_correct();
}

/// Guards against a snapshot that is never sent, or sent when entries would do.
#[rstest]
fn sends_snapshot_only_when_needed() {
    let mut all = compacting(11);
    let victim = follower(&mut all);
    all.write();
    all.converge();
    let before = all.world.chunks.get();
    all.start(victim);
    all.write();
    all.converge();
    let short = all.world.chunks.get() - before;

    all.crash(victim);
    for _ in 0..100 {
        all.write();
    }
    all.start(victim);
    all.converge();

    assert_eq!(short, 0);
    assert!(all.world.chunks.get() > before);
    all.assert_correct();
}

/// Guards against a torn write that stops a host, or loses more than was never acknowledged.
#[rstest]
fn starts_after_torn_write(#[values(1, 5, 13, 20)] missing: usize) {
    let mut all = Cluster::new(12, 3, Vec::new());
    for _ in 0..5 {
        all.write();
    }
    let victim = follower(&mut all);
    all.run(SECONDS);
    all.crash(victim);
    let mut files = all.files(victim);
    let log = files.get_mut(&File::Log).unwrap();
    let whole = agree::Frame {
        commit: 1,
        entries: Vec::new(),
    }
    .encode();
    log.extend(&whole[..whole.len() - missing]);
    all.replace_files(victim, files);

    all.start(victim);
    all.write();
    all.converge();

    all.assert_correct();
}

/// Guards against a host that takes part on a damaged disk, and an error that leaves the operator
/// without a way out.
#[rstest]
fn refuses_corruption(
    #[values(File::State, File::Snapshot, File::Log)] file: File,
    #[values(0, 5, 9, 50, 99)] percent: usize,
) {
    let mut all = compacting(13);
    for _ in 0..40 {
        all.write();
    }
    all.run(SECONDS);
    let victim = follower(&mut all);
    all.crash(victim);
    let mut files = all.files(victim);
    let bytes = files.get_mut(&file).unwrap();
    let at = bytes.len() * percent / 100;
    bytes[at] ^= 0x10;
    all.replace_files(victim, files);

    let outcome = all.try_start(victim);

    let Err(StartError::Corrupt { file: found, .. }) = &outcome else {
        panic!("{outcome:?}")
    };
    assert_eq!(found, file.name());
    let message = outcome.unwrap_err().to_string();
    assert!(message.contains("replace the host"), "{message}");
}

/// Guards against files that are whole but do not belong together.
#[rstest]
#[case::state_missing(File::State)]
#[case::snapshot_missing(File::Snapshot)]
fn refuses_missing_file(#[case] file: File) {
    let mut all = compacting(14);
    for _ in 0..40 {
        all.write();
    }
    let victim = follower(&mut all);
    all.crash(victim);
    let mut files = all.files(victim);
    files.remove(&file);
    all.replace_files(victim, files);

    let outcome = all.try_start(victim);

    assert!(
        matches!(outcome, Err(StartError::Corrupt { .. })),
        "{outcome:?}"
    );
}

/// Guards against a proposal that hangs or reports a wrong outcome when the leader is cut off.
#[rstest]
fn reports_unknown_outcome_in_time() {
    let mut all = Cluster::new(15, 3, Vec::new());
    all.write();
    let leader = all.leader();
    let node = all.node(leader);
    all.isolate(leader);

    let outcome = all.block(SECONDS, async move { node.propose(b"cut".to_vec()).await });

    assert_eq!(outcome, Some(Err(agree::ProposeError::Unknown)));
    let node = all.node(leader);
    let after = all.block(SECONDS, async move { node.propose(b"late".to_vec()).await });
    assert_eq!(after, Some(Err(agree::ProposeError::NotLeader(None))));
    assert!(!all.node(leader).is_leader(all.world.now()));
    assert!(
        all.node(leader)
            .time_since_contact(all.world.now())
            .is_none_or(|since| since > SECONDS / 5)
    );
}

/// Guards against a forwarded proposal that is lost between a follower and the leader.
#[rstest]
fn forwards_to_leader() {
    let mut all = Cluster::new(16, 3, Vec::new());
    all.write();
    all.converge();
    let other = follower(&mut all);
    let node = all.node(other);

    let outcome = all.block(SECONDS, async move {
        node.propose_or_forward(b"from afar".to_vec()).await
    });

    let (index, answer) = outcome.unwrap().unwrap();
    assert_eq!(answer, b"from afar");
    all.run(SECONDS);
    assert!(all.commands(other).contains(&(index, answer)));
}

/// Guards against one host that is counted several times because addresses are mixed up.
#[rstest]
fn counts_each_host_once() {
    let mut all = Cluster::new(19, 5, Vec::new());
    for host in 2..5 {
        all.crash(host);
        all.world.mixed.borrow_mut().insert(host, 1);
    }

    all.run(4 * SECONDS);

    assert_eq!(all.find_leader(), None);
}

/// Guards against messages that no control host sends: they must neither fill the state file, nor
/// use up terms, nor stop the host.
#[rstest]
#[case::stranger("intruder", 9)]
#[case::itself("control-0", 9)]
#[case::term("control-1", u64::MAX)]
fn ignores_impossible_messages(#[case] host: &str, #[case] term: u64) {
    let mut all = Cluster::new(18, 3, Vec::new());
    all.write();
    all.converge();
    let node = all.node(0);
    let before = node.dump();
    let seen = before["seen"].as_array().unwrap();
    let known = seen.iter().find(|seen| seen["host"] == host);
    let from = Identity {
        host: host.to_owned(),
        incarnation: 0,
        boot: 1,
        nonce: known.map_or(5, |seen| seen["nonce"].as_u64().unwrap()),
    };
    let vote = VoteRequest {
        from: from.clone(),
        term,
        last_index: u64::MAX,
        last_term: u64::MAX,
        pre_vote: false,
    };
    let append = AppendRequest {
        from,
        term,
        prev_index: u64::MAX,
        prev_term: u64::MAX,
        commit: u64::MAX,
        entries: Vec::new(),
    };

    let replies = all.block(SECONDS, async move {
        (node.on_vote(vote).await, node.on_append(append).await)
    });

    let (vote, append) = replies.unwrap();
    let after = all.node(0).dump();
    assert!(!vote.granted && !append.success && !vote.stale);
    assert_eq!(
        (&after["term"], &after["seen"]),
        (&before["term"], &before["seen"])
    );
    all.write();
    all.assert_correct();
}
