//! Incremental reports give the receiver the same view as complete reports.

use std::time::{Duration, Instant};

use base::Position;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use route::{
    Announcement, Health,
    report::{ClusterView, ConnectionDemand, Observation, Report, ReportReceiver, ReportSender},
};
use rstest::rstest;

fn announcement(number: u32, leaving: bool) -> Announcement {
    Announcement {
        member: format!("member-{number}"),
        group: format!("group-{}", number / 3),
        store: format!("store-{number}"),
        address: "127.0.0.1:5432".parse().unwrap(),
        zone: "wien-nord".into(),
        region: "ostalpen".into(),
        connections: 16,
        slots: 2,
        leaving,
        sequence: 0,
        born: 0,
    }
}

fn observation(health: Health, offset: u64) -> Observation {
    Observation {
        health,
        since_last_answer: Duration::ZERO,
        position: Position::new(1, offset),
        primary: false,
    }
}

/// View with groups of three members that answer.
fn view(groups: u32, offset: u64) -> ClusterView {
    let mut view = ClusterView::default();
    for number in 0..groups * 3 {
        let announcement = announcement(number, false);
        let members = view.groups.entry(announcement.group.clone()).or_default();
        members.push((announcement.member.clone(), observation(Health::Ok, offset)));
        view.announcements.push((announcement, Duration::ZERO));
    }
    view
}

fn demand(view: &mut ClusterView, number: u32, wanted: u32) {
    let announcement = announcement(number, false);
    let demand = ConnectionDemand {
        used: wanted,
        waiting: 0,
        wanted,
    };
    view.demands
        .insert(announcement.member, (announcement.group, demand));
}

/// Sends reports of the views in turn. Returns the sender, the receiver and the last time.
fn send_all(views: &[ClusterView]) -> (ReportSender, ReportReceiver, Instant) {
    let (mut sender, mut receiver) = (ReportSender::default(), ReportReceiver::default());
    let mut now = Instant::now();
    for view in views {
        now += Duration::from_millis(600);
        receiver.receive(sender.next_report(now, view)).unwrap();
    }
    (sender, receiver, now)
}

/// Guards against healthy, unchanged groups that are sent with every renewal.
#[test]
fn unchanged_view_sends_only_repeats() {
    let (mut sender, _, now) = send_all(&[view(3, 7), view(3, 7)]);

    let report = sender.next_report(now + Duration::from_mins(1), &view(3, 7));

    assert_eq!(report.repeats.len(), 9);
    let rest = Report {
        repeats: Vec::new(),
        ..report
    };
    let empty = Report {
        sequence: 3,
        ..Report::default()
    };
    assert_eq!(rest, empty);
}

/// Guards against lag whose changes operators never see, and against positions sent with every
/// renewal.
#[rstest]
#[case(Duration::from_millis(1_900), 0)]
#[case(Duration::from_millis(2_100), 3)]
fn positions_alone_are_delayed(#[case] later: Duration, #[case] sent: usize) {
    let (mut sender, _, now) = send_all(&[view(1, 7)]);

    let report = sender.next_report(now + later, &view(1, 8));

    assert_eq!(report.observations.len(), sent);
}

/// Guards against a failure that is reported only with a later renewal: a member that refuses or is
/// silent, a changed role or term, and requests that wait for connections.
#[rstest]
#[case::nothing(|_: &mut ClusterView| {}, false)]
#[case::offset(|p: &mut ClusterView| p.groups.get_mut("group-0").unwrap()[1].1.position.offset = 9, false)]
#[case::refused(|p: &mut ClusterView| p.groups.get_mut("group-0").unwrap()[1].1.health = Health::Refused, true)]
#[case::silent(|p: &mut ClusterView| p.groups.get_mut("group-0").unwrap()[1].1.health = Health::Silent, true)]
#[case::role(|p: &mut ClusterView| p.groups.get_mut("group-0").unwrap()[1].1.primary = true, true)]
#[case::term(|p: &mut ClusterView| p.groups.get_mut("group-0").unwrap()[1].1.position.term = 2, true)]
#[case::group(|p: &mut ClusterView| *p = view(2, 7), true)]
#[case::idle(|p: &mut ClusterView| demand(p, 0, 2), false)]
#[case::waiting(|p: &mut ClusterView| {
    demand(p, 0, 2);
    p.demands.get_mut("member-0").unwrap().1.waiting = 1;
}, true)]
fn failures_are_urgent(#[case] change: fn(&mut ClusterView), #[case] urgent: bool) {
    let (sender, _, _) = send_all(&[view(1, 7)]);
    let mut next = view(1, 7);
    change(&mut next);

    assert_eq!(sender.is_urgent(&next), urgent);
}

/// Guards against a member that does not answer and that is reported only once.
#[test]
fn unhealthy_group_is_in_each_report() {
    let mut failing = view(2, 7);
    failing.groups.get_mut("group-1").unwrap()[0].1 = Observation {
        since_last_answer: Duration::from_millis(1_600),
        ..observation(Health::Silent, 7)
    };
    let (mut sender, _, now) = send_all(&[failing.clone()]);

    let report = sender.next_report(now, &failing);

    assert_eq!(report.observations.len(), 3);
}

/// Guards against applying a report after a lost, repeated or reordered one.
#[rstest]
#[case::lost(&[0, 1, 3])]
#[case::reordered(&[0, 2, 1])]
#[case::repeated(&[0, 1, 1])]
#[case::new_receiver(&[2])]
fn gap_requires_a_complete_report(#[case] order: &[usize]) {
    let (mut sender, mut receiver) = (ReportSender::default(), ReportReceiver::default());
    let now = Instant::now();
    let views: Vec<_> = (0..4).map(|i| view(2, i)).collect();
    let step = Duration::from_secs(3);
    let reports = (0..4).zip(&views);
    let reports: Vec<_> = reports
        .map(|(i, view)| sender.next_report(now + step * i, view))
        .collect();

    let mut accepted: Vec<_> = order
        .iter()
        .map(|&i| receiver.receive(reports[i].clone()).is_some())
        .collect();
    let last = accepted.pop();
    let after = receiver.receive(reports[3].clone());
    sender.reset();
    let complete = receiver.receive(sender.next_report(now, &views[3]));

    assert_eq!(last, Some(false));
    assert_eq!(after, None, "a report was accepted before a complete one");
    assert_eq!(complete.as_ref(), Some(&views[3]));
}

/// Guards against a member number that was never assigned.
#[test]
fn unknown_number_requires_a_complete_report() {
    let (mut sender, mut receiver, now) = send_all(&[view(1, 7)]);
    let mut report = sender.next_report(now, &view(1, 7));
    report.repeats.push((99, Duration::ZERO));

    assert_eq!(receiver.receive(report), None);
}

/// Guards against a removed member or group that stays in the view.
#[test]
fn removed_group_leaves_the_view() {
    let (mut sender, mut receiver, now) = send_all(&[view(3, 7)]);
    let smaller = view(2, 7);

    let report = sender.next_report(now, &smaller);

    assert_eq!(receiver.receive(report), Some(smaller));
}

/// Guards against a sequence of changes, lost reports and restarts of the control host after which
/// incremental reports give another view than complete ones.
#[rstest]
fn same_view_as_complete_reports(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut sender, mut receiver) = (ReportSender::default(), ReportReceiver::default());
    let mut now = Instant::now();
    let mut current = view(4, 1);
    let mut compared = 0;
    for _ in 0..500 {
        now += Duration::from_millis(600);
        current.announcements.clear();
        let first = random.random_range(0..4);
        for number in [first, first + 4, first + 8] {
            let leaving = random.random_bool(0.1);
            let member = announcement(number, leaving);
            if random.random_bool(0.3) {
                let states = [Health::Ok, Health::Refused, Health::Silent];
                let health = states[random.random_range(0..3)];
                let members = current.groups.get_mut(&member.group).unwrap();
                members[usize::try_from(number % 3).unwrap()].1.health = health;
            }
            if random.random_bool(0.2) {
                current.demands.remove(&member.member);
            } else {
                demand(&mut current, number, random.random_range(1..9));
            }
            let age = Duration::from_millis(random.random_range(0..600));
            current.announcements.push((member, age));
        }
        let report = sender.next_report(now, &current);
        match random.random_range(0..20) {
            0 => continue,
            1 => receiver = ReportReceiver::default(),
            _ => {}
        }
        if let Some(mut view) = receiver.receive(report) {
            // Announcements may come in any order, because each is of another member.
            view.announcements
                .sort_by(|a, b| a.0.member.cmp(&b.0.member));
            current
                .announcements
                .sort_by(|a, b| a.0.member.cmp(&b.0.member));
            assert_eq!(view, current, "seed {seed}");
            compared += 1;
        } else {
            sender.reset();
        }
    }
    assert!(compared > 300, "{compared}");
}
