//! Assignment of groups to the entry processes of a zone, and the choice of forwarding targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Instant,
};

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
fn near_entries() -> NearEntries {
    let near_entries = NearEntries::default();
    near_entries.set_counts(ENTRIES, ZONES);
    near_entries.set_list(7, &hosts(10));
    near_entries.assign(services(26).iter());
    near_entries
}

fn serving(near_entries: &NearEntries, group: &str) -> String {
    let mut names = hosts(10).into_keys();
    names
        .find(|name| near_entries.serves(group, name) == Some(true))
        .unwrap()
}

/// Guards against forwarding in a deployment where every process has enough connections.
#[test]
fn small_deployment_serves_itself() {
    let near_entries = NearEntries::default();
    near_entries.set_counts(9, 3);
    near_entries.set_list(7, &hosts(3));
    near_entries.assign(services(16).iter());

    assert!(near_entries.is_complete());
    assert!(near_entries.forward_target("g0", "e0", None).is_none());
    assert_eq!(
        (
            near_entries.serves("g0", "e0"),
            near_entries.sharing_entries("g0")
        ),
        (None, None)
    );
}

/// Guards against connections that are opened before the assignment of groups is known.
#[test]
fn unlisted_processes_serve_nothing() {
    let near_entries = NearEntries::default();
    near_entries.set_counts(ENTRIES, ZONES);
    near_entries.assign(services(26).iter());

    assert!(!near_entries.is_complete());
    assert_eq!(near_entries.serves("g0", "e0"), Some(false));
}

/// Guards against processes that forward the sessions of one group to different targets, and
/// against a process that forwards sessions that it serves itself.
#[test]
fn one_process_serves_a_group_of_a_zone() {
    let near_entries = near_entries();
    let server = serving(&near_entries, "g3");

    for name in hosts(10).keys() {
        let chosen = near_entries
            .forward_target("g3", name, None)
            .map(|near| near.name.clone());
        assert_eq!(chosen, (*name != server).then(|| server.clone()));
    }
    assert_eq!(near_entries.sharing_entries("g3"), Some(ZONES));
}

/// Guards against sessions that are forwarded to an unresponsive process, and against a process
/// that is still skipped after it answers again.
#[test]
fn unresponsive_process_is_skipped_until_it_answers() {
    let near_entries = near_entries();
    let server = serving(&near_entries, "g3");
    let own = hosts(10).into_keys().find(|name| *name != server).unwrap();
    let chosen = near_entries.forward_target("g3", &own, None).unwrap();

    chosen.mark_unresponsive();
    let skipped = near_entries
        .forward_target("g3", &own, None)
        .map(|near| near.name.clone());
    chosen.record_answer(Instant::now());
    let after = near_entries
        .forward_target("g3", &own, None)
        .map(|near| near.name.clone());

    assert_ne!(skipped, Some(server.clone()));
    assert_eq!(after, Some(server));
}

/// Guards against refusals when all other processes are unresponsive: the process then serves the
/// sessions itself.
#[test]
fn last_process_serves_itself() {
    let near_entries = near_entries();
    let server = serving(&near_entries, "g3");
    let own = hosts(10).into_keys().find(|name| *name != server).unwrap();

    let mut tried = 0;
    while let Some(near) = near_entries.forward_target("g3", &own, None) {
        near.mark_unresponsive();
        tried += 1;
    }

    assert!((1..10).contains(&tried), "{tried} were tried");
}

/// Guards against sessions that stay at a process which the control hosts no longer list.
#[test]
fn unlisted_process_is_unavailable() {
    let near_entries = near_entries();
    let server = serving(&near_entries, "g3");
    let own = hosts(10).into_keys().find(|name| *name != server).unwrap();
    let near = near_entries.forward_target("g3", &own, None).unwrap();
    let mut list = hosts(10);
    list.remove(&server);

    near_entries.set_list(8, &list);
    near_entries.assign(services(26).iter());

    assert!(near.is_unlisted() && near.is_unavailable());
    let chosen = near_entries
        .forward_target("g3", &own, None)
        .map(|near| near.name.clone());
    assert_ne!(chosen, Some(server));
}

/// Guards against sessions of one organisation that are spread over all processes that serve the
/// group, each of which then opens connections in its name; and against a lost home.
#[test]
fn sessions_of_an_organisation_go_to_its_home() {
    let near_entries = NearEntries::default();
    near_entries.set_counts(ENTRIES, ZONES);
    near_entries.set_list(7, &hosts(10));
    near_entries.assign(services(74).iter());
    let served_by = |own: &str| {
        let target = near_entries.forward_target("g3", own, Some("acme"));
        target.map_or_else(|| own.to_owned(), |near| near.name.clone())
    };
    let other = hosts(10).into_keys().find(|name| served_by(name) != *name);
    let home = near_entries
        .forward_target("g3", &other.unwrap(), Some("acme"))
        .unwrap();

    let before: BTreeSet<_> = hosts(10).keys().map(|own| served_by(own)).collect();
    home.mark_unresponsive();
    let others = hosts(10).into_keys().filter(|name| *name != home.name);
    let after: BTreeSet<_> = others.map(|own| served_by(&own)).collect();

    assert_eq!(before, BTreeSet::from([home.name.clone()]));
    assert_eq!(after.len(), 1);
    assert!(
        after
            .iter()
            .all(|name| near_entries.serves("g3", name) == Some(true))
    );
}
