//! Which entry process answers the sessions of another.

use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

use base::document::{Document, Service};
use entry::near::NearEntries;

const ENTRIES: u32 = 58;
const ZONES: u32 = 6;

fn services(connections: u32) -> Vec<Service> {
    let services = (0..8).map(|i| {
        format!("[[service]]\nname = \"s{i}\"\ngroup = \"g{i}\"\nconnections = {connections}\n")
    });
    Document::parse(&services.collect::<String>())
        .unwrap()
        .services
}

fn hosts(count: u16) -> BTreeMap<String, SocketAddr> {
    let host = |i| {
        (
            format!("e{i}"),
            SocketAddr::from(([127, 0, 0, 1], 7_000 + i)),
        )
    };
    (0..count).map(host).collect()
}

/// Ten entry processes of a zone in front of databases with 26 connections.
fn nearby() -> NearEntries {
    let nearby = NearEntries::default();
    nearby.set_counts(ENTRIES, ZONES);
    nearby.set_list(7, &hosts(10));
    nearby.assign(services(26).iter());
    nearby
}

fn serving(nearby: &NearEntries, group: &str) -> String {
    let mut names = hosts(10).into_keys();
    names
        .find(|name| nearby.serves(group, name) == Some(true))
        .unwrap()
}

/// Guards against forwarding in a deployment whose processes have connections enough.
#[test]
fn small_deployment_serves_itself() {
    let nearby = NearEntries::default();
    nearby.set_counts(9, 3);
    nearby.set_list(7, &hosts(3));
    nearby.assign(services(16).iter());

    assert!(nearby.is_complete());
    assert!(nearby.forward_target("g0", "e0").is_none());
    assert_eq!(
        (nearby.serves("g0", "e0"), nearby.sharers("g0")),
        (None, None)
    );
}

/// Guards against connections that are opened before it is known who is to hold them.
#[test]
fn unknown_processes_serve_nothing() {
    let nearby = NearEntries::default();
    nearby.set_counts(ENTRIES, ZONES);
    nearby.assign(services(26).iter());

    assert!(!nearby.is_complete());
    assert_eq!(nearby.serves("g0", "e0"), Some(false));
}

/// Guards against processes that send the sessions of one group to different ones, and against a
/// process that forwards what it serves itself.
#[test]
fn one_process_answers_a_group_of_a_zone() {
    let nearby = nearby();
    let server = serving(&nearby, "g3");

    for name in hosts(10).keys() {
        let chosen = nearby
            .forward_target("g3", name)
            .map(|near| near.name.clone());
        assert_eq!(chosen, (*name != server).then(|| server.clone()));
    }
    assert_eq!(nearby.sharers("g3"), Some(ZONES));
}

/// Guards against sessions that go to a lost process, and against ones that never go back.
#[test]
fn lost_process_is_passed_over_until_it_answers() {
    let nearby = nearby();
    let server = serving(&nearby, "g3");
    let caller = hosts(10).into_keys().find(|name| *name != server).unwrap();
    let lost = nearby.forward_target("g3", &caller).unwrap();

    lost.mark_unresponsive();
    let meanwhile = nearby
        .forward_target("g3", &caller)
        .map(|near| near.name.clone());
    lost.record_answer(Instant::now());
    let after = nearby
        .forward_target("g3", &caller)
        .map(|near| near.name.clone());

    assert_ne!(meanwhile, Some(server.clone()));
    assert_eq!(after, Some(server));
}

/// Guards against refusals where a process could still serve: at last it does so itself.
#[test]
fn last_process_serves_itself() {
    let nearby = nearby();
    let server = serving(&nearby, "g3");
    let caller = hosts(10).into_keys().find(|name| *name != server).unwrap();

    let mut asked = 0;
    while let Some(near) = nearby.forward_target("g3", &caller) {
        near.mark_unresponsive();
        asked += 1;
    }

    assert!((1..10).contains(&asked), "{asked} were asked");
}

/// Guards against sessions that stay at a process which the control hosts don't name any more.
#[test]
fn process_that_is_not_listed_is_lost() {
    let nearby = nearby();
    let server = serving(&nearby, "g3");
    let caller = hosts(10).into_keys().find(|name| *name != server).unwrap();
    let near = nearby.forward_target("g3", &caller).unwrap();
    let mut list = hosts(10);
    list.remove(&server);

    nearby.set_list(8, &list);
    nearby.assign(services(26).iter());

    assert!(near.is_unlisted() && near.is_unavailable());
    let chosen = nearby
        .forward_target("g3", &caller)
        .map(|near| near.name.clone());
    assert_ne!(chosen, Some(server));
}
