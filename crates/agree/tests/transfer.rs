//! Transfer of the leadership at a planned stop.

mod cluster;

use std::time::Duration;

use agree::{
    environment::File,
    message::{Identity, TransferRequest},
};
use cluster::{Cluster, Kill, Step};
use rstest::rstest;

const SECONDS: Duration = Duration::from_secs(5);
/// Shortest election timeout.
const ELECTION: Duration = Duration::from_millis(600);

/// Three hosts that hold the same log, with their leader.
fn settled(seed: u64) -> (Cluster, usize) {
    let mut all = Cluster::new(seed, 3, Vec::new());
    all.sole = true;
    all.write();
    all.converge();
    let leader = all.leader();
    (all, leader)
}

fn transfer(all: &mut Cluster, leader: usize) -> Option<bool> {
    let node = all.node(leader);
    all.block(SECONDS, async move { node.transfer_leadership().await })
}

/// Time until a host other than `former` leads.
fn succession(all: &mut Cluster, former: usize) -> Duration {
    let start = all.world.now();
    let found = all.run_until(SECONDS, |all| {
        all.find_leader().is_some_and(|leader| leader != former)
    });
    assert!(found, "no other leader");
    all.world.now().duration_since(start)
}

/// Request as the leader would send it to `to`.
fn request(all: &Cluster, leader: usize, to: usize) -> TransferRequest {
    let dump = all.node(leader).dump();
    let number = |key: &str| dump[key].as_u64().unwrap();
    let seen: Vec<Identity> = serde_json::from_value(all.node(to).dump()["seen"].clone()).unwrap();
    TransferRequest {
        from: seen
            .into_iter()
            .find(|known| known.host == dump["name"])
            .unwrap(),
        term: number("term"),
        last_index: number("last"),
        last_term: number("term"),
    }
}

/// Guards against a planned stop that leaves the others without a leader for an election timeout.
#[rstest]
fn planned_stop_costs_no_election_timeout(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let (mut all, leader) = settled(seed);
    let term = all.node(leader).term();

    all.submit_transfer(leader);
    let took = succession(&mut all, leader);
    all.crash(leader);
    all.write();

    let next = all.leader();
    assert!(took < ELECTION / 3, "took {took:?}");
    assert_eq!(all.node(next).term(), term + 1);
    all.assert_correct();
}

/// Guards against a former leader that still takes itself for the leader, and answers strong reads,
/// while the next one leads, because it is cut off before it hears of the election.
#[rstest]
fn former_leader_gives_up_first(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let (mut all, leader) = settled(seed);
    let term = all.node(leader).term();

    all.submit_transfer(leader);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    let elected = |all: &Cluster| others.iter().any(|other| all.node(*other).term() > term);
    assert!(all.run_until(SECONDS, elected));
    all.isolate(leader);
    let took = succession(&mut all, leader);

    assert!(took < ELECTION / 3, "took {took:?}");
    all.assert_correct();
}

/// Guards against a transfer that fails on a leader whose last entries are still on their way.
#[rstest]
fn waits_until_target_holds_whole_log(#[values(1, 2, 3)] seed: u64) {
    let (mut all, leader) = settled(seed);
    for host in 0..3 {
        all.slow_disk(host, Duration::from_millis(40));
    }
    for _ in 0..10 {
        all.submit(leader, false);
    }

    let done = transfer(&mut all, leader);
    all.run(SECONDS);

    assert_eq!(done, Some(true));
    assert_eq!(all.acked.borrow().len(), 11);
    all.assert_correct();
}

/// Guards against a target that lacks entries of the leader.
#[rstest]
fn host_behind_is_passed_over(#[values(1, 2, 3)] seed: u64) {
    let (mut all, leader) = settled(seed);
    let (behind, other) = ((leader + 1) % 3, (leader + 2) % 3);
    all.cut(leader, behind);
    all.write();

    let done = transfer(&mut all, leader);

    assert_eq!(done, Some(true));
    assert_eq!(all.leader(), other);
    all.heal();
    all.converge();
    all.assert_correct();
}

/// Guards against a leader that gives up although no other host can take over.
#[rstest]
fn leader_without_target_goes_on(#[values(1, 2, 3)] seed: u64) {
    let (mut all, leader) = settled(seed);
    let term = all.node(leader).term();
    all.isolate(leader);
    all.submit(leader, false);

    let done = transfer(&mut all, leader);
    all.heal();
    all.write();

    assert_eq!(done, Some(false));
    assert_eq!((all.leader(), all.node(leader).term()), (leader, term));
    all.converge();
    all.assert_correct();
}

/// Guards against the loss of entries, of votes or of the leader when the target dies at a step of
/// its election, and against a second target that is not asked.
#[rstest]
fn target_dies_in_the_middle(
    #[values(File::State, File::Log)] file: File,
    #[values(Step::Write, Step::Sync, Step::Reply)] step: Step,
    #[values(1, 2, 3)] seed: u64,
) {
    let (mut all, leader) = settled(seed);
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    let count = 1;
    for other in others {
        all.kill_at(other, Kill { file, step, count });
    }
    // The first host that writes for its election is the target.
    let start = all.world.now();
    all.submit_transfer(leader);
    all.run_until(SECONDS, |all| others.iter().any(|other| !all.alive(*other)));
    for other in others {
        all.cancel_kill(other);
    }

    all.run_until(SECONDS, |all| all.find_leader().is_some());
    let took = all.world.now().duration_since(start);
    all.write();
    for other in others {
        if !all.alive(other) {
            all.start(other);
        }
    }
    all.write();
    all.converge();

    // A target that dies after its election ended the term of the request, which no other host
    // may follow then.
    assert!(file == File::Log || took < ELECTION, "took {took:?}");
    all.assert_correct();
}

/// Guards against a target that dies before it is asked, while another host could take over.
#[rstest]
fn dead_target_is_replaced_by_next(#[values(1, 2, 3)] seed: u64) {
    let (mut all, leader) = settled(seed);
    let dead = (leader + 1) % 3;
    all.crash(dead);

    all.submit_transfer(leader);
    let took = succession(&mut all, leader);

    assert!(took < ELECTION, "took {took:?}");
    all.write();
    all.start(dead);
    all.converge();
    all.assert_correct();
}

/// Guards against a proposal that is reported as lost and applied, or acknowledged and lost, when
/// it is made during a transfer, and against requests that arrive twice and late.
#[rstest]
fn proposals_during_transfers(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let (mut all, _) = settled(seed);
    all.world.duplicates.set(50);

    for _ in 0..20 {
        let leader = all.leader();
        all.submit_transfer(leader);
        for host in 0..3 {
            all.submit(host, true);
            all.submit_barrier(host);
        }
        let pause = Duration::from_millis(all.world.below(300));
        all.run(pause);
    }
    all.run(SECONDS);
    all.write();
    all.converge();

    all.assert_correct();
}

/// Guards against an election that a host starts although it lacks entries, for a term that is
/// over, or on the word of a host that does not lead.
#[rstest]
#[case::right(|_: &mut TransferRequest| {}, true)]
#[case::shorter_log(|request: &mut TransferRequest| request.last_index += 1, false)]
#[case::other_log(|request: &mut TransferRequest| request.last_term -= 1, false)]
#[case::old_term(|request: &mut TransferRequest| request.term -= 1, false)]
#[case::stranger(|request: &mut TransferRequest| request.from.host = "x".to_owned(), false)]
#[case::outdated(|request: &mut TransferRequest| request.from.boot -= 1, false)]
fn only_right_request_is_accepted(
    #[case] change: fn(&mut TransferRequest),
    #[case] expected: bool,
) {
    let (mut all, leader) = settled(1);
    let target = (leader + 1) % 3;
    let mut request = request(&all, leader, target);
    change(&mut request);
    let term = all.node(leader).term();

    let node = all.node(target);
    let reply = all.block(SECONDS, async move { node.on_transfer(request).await });
    all.run(SECONDS);

    assert_eq!(reply.unwrap().accepted, expected);
    let next = all.leader();
    let unchanged = (next, all.node(next).term()) == (leader, term);
    assert_eq!(unchanged, !expected);
}
