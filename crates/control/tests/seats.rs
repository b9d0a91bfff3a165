//! Seats of the control hosts.

mod common;

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use common::Cluster;
use control::{
    host::Identity,
    machine::{Answer, Command, State},
    seat::{self, REPLACEABLE_AFTER, Seating, VACANT},
};
use rstest::rstest;

fn seats(addresses: [&str; 3]) -> BTreeMap<String, String> {
    let names = ["control-1", "control-2", "control-3"].map(str::to_owned);
    names
        .into_iter()
        .zip(addresses.map(str::to_owned))
        .collect()
}

fn seat_command(name: &str, address: &str) -> Command {
    Command::Seat {
        name: name.to_owned(),
        address: address.to_owned(),
        base: None,
    }
}

/// Guards against a seat that is taken from a live host, and against a host that gets a second
/// seat.
#[rstest]
#[case::own_seat("b:1", [0, 9_000, 0], Some("control-2"))]
#[case::gone_the_longest("d:1", [0, 5_000, 9_000], Some("control-3"))]
#[case::all_there("d:1", [0, 100, 2_400], None)]
fn seat_of_absent_host_is_assigned(
    #[case] address: &str,
    #[case] absent: [u64; 3],
    #[case] expected: Option<&str>,
) {
    let seats = seats(["a:1", "b:1", "c:1"]);
    let absence = |name: &str| {
        let i = seats.keys().position(|known| known == name)?;
        Some(Duration::from_millis(absent[i]))
    };

    let chosen = seat::choose(&seats, address, absence);

    assert_eq!(chosen.as_deref(), expected);
}

/// Guards against a former host of a seat whose grants still count towards a majority: the change
/// of a seat must end older leases.
#[test]
fn change_of_a_seat_ends_older_leases() {
    let mut state = State::default();
    state.apply(5, seat_command("control-1", "a:1"));

    state.apply(8, seat_command("control-1", "d:1"));

    assert_eq!((state.version, state.fenced, state.seated), (8, 8, 8));
    assert_eq!(state.seats["control-1"], "d:1");
}

/// Guards against an outage of all leases each time a host requests the seat that it already has.
#[test]
fn repeated_seat_changes_nothing() {
    let mut state = State::default();
    state.apply(5, seat_command("control-1", "a:1"));

    let answer = state.apply(9, seat_command("control-1", "a:1"));

    assert_eq!((state.fenced, state.seated), (5, 5));
    assert!(matches!(answer, Answer::Done { version: 5, .. }));
}

/// A host that was given the seat of another one, which a replacement of it would hold at `127.0.0.9:1`.
fn successor() -> Identity {
    let address = |host| SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), 1));
    let peers = [("control-1", 4), ("control-2", 2), ("control-3", 3)];
    Identity {
        name: "control-1".to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        host: address(4).ip(),
        peers: peers
            .map(|(name, host)| (name.to_owned(), address(host)))
            .into(),
        allow_replacement: true,
        seat_index: 8,
        rates: base::rates::Rates::default(),
    }
}

/// Guards against a host that judges its seat by a state that it is still replaying: it emptied its
/// disk because its predecessor held the seat before.
#[test]
fn replayed_predecessor_does_not_displace_a_host() {
    let mut state = State::default();
    let identity = successor();
    let mut displaced = Vec::new();

    for (index, address) in [(5, "127.0.0.1:1"), (8, "127.0.0.4:1"), (9, "127.0.0.9:1")] {
        state.apply(index, seat_command("control-1", address));
        displaced.push(seat::is_displaced(&state, &identity));
    }

    assert_eq!(displaced, [false, false, true]);
}

/// Guards against a host that lost its seat and continues to grant leases.
#[compio::test]
async fn displaced_host_grants_nothing() {
    let cluster = Cluster::start().await;
    let former = &cluster.hosts[2].host;
    let name = former.identity.name.clone();
    let before = former.is_replaced();

    let joined = {
        let absences = [(name.clone(), REPLACEABLE_AFTER)];
        cluster.shared.seat_silence.borrow_mut().extend(absences);
        seat::join(cluster.leader(), "127.0.0.9:1").await
    };

    assert!(!before);
    assert_eq!(joined.name, Some(name));
    assert!(former.is_replaced());
    assert!(!cluster.leader().is_replaced());
}

/// Guards against initial hosts that compute different seats.
#[test]
fn founders_agree_whatever_the_order() {
    let one = ["a:1", "c:1", "b:1"].map(String::from);
    let other = ["b:1", "a:1", "c:1"].map(String::from);

    let one = Seating::founding(&one, "b:1", 1).unwrap();
    let other = Seating::founding(&other, "b:1", 1).unwrap();

    assert_eq!(one, other);
    assert_eq!(one.seats, seats(["a:1", "b:1", "c:1"]));
}

/// Guards against a host that loses its seat when it restarts.
#[test]
fn seating_survives_a_restart() {
    let parent = tempfile::tempdir().unwrap();
    let data = parent.path().join("data");
    let addresses = ["a:1", "b:1", "c:1"].map(String::from);
    let seating = Seating::founding(&addresses, "c:1", 1).unwrap();

    let before = Seating::load(&data).unwrap();
    seating.store(&data).unwrap();

    assert_eq!(before, None);
    assert_eq!(Seating::load(&data).unwrap(), Some(seating));
}

/// Guards against a deployment that loses acknowledged changes when the tolerated number of hosts
/// is lost, and against one that can't start because the initial hosts are not a majority.
#[rstest]
#[case::as_many_as_founders(1, 3, 0)]
#[case::two_more(2, 5, 2)]
#[case::founders_stay_a_majority(9, 5, 2)]
#[case::no_seat_is_taken_away(0, 3, 0)]
fn seat_count_tolerates_losses(#[case] losses: usize, #[case] total: usize, #[case] vacant: usize) {
    let addresses = ["a:1", "c:1", "b:1"].map(String::from);

    let seating = Seating::founding(&addresses, "b:1", losses).unwrap();

    let free = seating.seats.values().filter(|held| *held == VACANT);
    assert_eq!((seating.seats.len(), free.count()), (total, vacant));
}

/// Guards against assigning one seat to two hosts because the first has not answered the leader
/// yet.
#[compio::test]
async fn seat_is_assigned_once() {
    let cluster = Cluster::start().await;
    let absences = cluster.hosts[1..].iter();
    let absences = absences.map(|running| (running.host.identity.name.clone(), REPLACEABLE_AFTER));
    cluster.shared.seat_silence.borrow_mut().extend(absences);

    let first = seat::join(cluster.leader(), "127.0.0.9:1").await;
    let second = seat::join(cluster.leader(), "127.0.0.8:1").await;
    let third = seat::join(cluster.leader(), "127.0.0.7:1").await;

    assert!(first.name.is_some() && second.name.is_some());
    assert_ne!(first.name, second.name);
    assert_eq!(third.name, None);
}

/// Guards against one seat that two hosts believe to hold: the former holder came back without its disk
/// and asked for its seat while another host was being given it.
#[test]
fn seat_is_given_only_as_it_was_chosen() {
    let mut state = State::default();
    state.apply(5, seat_command("control-1", "a:1"));
    let based = |address: &str| Command::Seat {
        name: "control-1".to_owned(),
        address: address.to_owned(),
        base: Some("a:1".to_owned()),
    };

    let other = state.apply(8, based("d:1"));
    let former = state.apply(9, based("a:1"));
    let repeated = state.apply(10, based("d:1"));

    assert!(matches!(other, Answer::Done { .. }));
    assert_eq!(former, Answer::Conflict { version: 8 });
    assert!(matches!(repeated, Answer::Done { .. }));
    assert_eq!(state.seats["control-1"], "d:1");
}

/// Guards against a host that gets a second seat because it asks again before the first is committed.
#[compio::test]
async fn repeated_request_gets_the_same_seat() {
    let cluster = Cluster::start().await;
    let absences = cluster.hosts[1..].iter();
    let absences = absences.map(|running| (running.host.identity.name.clone(), REPLACEABLE_AFTER));
    cluster.shared.seat_silence.borrow_mut().extend(absences);

    cluster.shared.commits_blocked.set(true);
    let unanswered = seat::join(cluster.leader(), "127.0.0.9:1").await;
    cluster.shared.commits_blocked.set(false);
    let repeated = seat::join(cluster.leader(), "127.0.0.9:1").await;
    let other = seat::join(cluster.leader(), "127.0.0.8:1").await;

    assert_eq!(unanswered.name, None);
    assert!(repeated.name.is_some() && other.name.is_some());
    assert_ne!(repeated.name, other.name);
    let seats = cluster.leader().state.borrow().seats.clone();
    assert_eq!(seats.values().filter(|at| *at == "127.0.0.9:1").count(), 1);
}

/// Guards against a host that founds the deployment a second time after its seat was given to
/// another one: it would vote with an empty log as the host that it was before.
#[test]
fn host_without_its_seat_founds_nothing() {
    let parent = tempfile::tempdir().unwrap();
    let data = parent.path().join("data");
    let addresses = ["a:1", "b:1", "c:1"].map(String::from);
    let seating = Seating::founding(&addresses, "c:1", 1).unwrap();
    let before = Seating::is_vacated(&data);
    agree::format(&data, &seating.name).unwrap();
    seating.store(&data).unwrap();

    Seating::vacate(&data).unwrap();

    assert!(!before);
    assert!(Seating::is_vacated(&data));
    assert_eq!(Seating::load(&data).unwrap(), None);
}

/// Guards against a founding host that never starts again because it was ended before it had stored its
/// seat.
#[test]
fn interrupted_founding_starts_over() {
    let parent = tempfile::tempdir().unwrap();
    let data = parent.path().join("data");
    let addresses = ["a:1", "b:1", "c:1"].map(String::from);
    let seating = Seating::founding(&addresses, "c:1", 1).unwrap();
    agree::format(&data, &seating.name).unwrap();

    let founded = seating.found(&data);

    assert!(founded.is_ok(), "{founded:?}");
    assert_eq!(Seating::load(&data).unwrap(), Some(seating));
}

/// Guards against a host that starts from what a loss of power left of its former seat: a state
/// without its log, or a log without its state.
#[rstest]
#[case::state(&["state"])]
#[case::log(&["log"])]
#[case::unfinished(&["state.new", "log", "lock"])]
fn no_file_of_a_former_seat_is_left(#[case] left: &[&str]) {
    let parent = tempfile::tempdir().unwrap();
    let data = parent.path().join("data");
    std::fs::create_dir_all(&data).unwrap();
    for name in left {
        std::fs::write(data.join(name), "old").unwrap();
    }

    Seating::vacate(&data).unwrap();

    let names = std::fs::read_dir(&data).unwrap();
    let names: Vec<_> = names.map(|entry| entry.unwrap().file_name()).collect();
    assert_eq!(names, ["seating"]);
}
