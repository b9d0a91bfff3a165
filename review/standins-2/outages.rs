//! Two outages of the primary and a replica, some seconds apart, while the other replica receives
//! nothing.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    database::Group,
    deployment::{Client, Deployment, Route, wait_until},
    net::Record,
};

const SERVICE: &str = "huvo11a";
const ROUTE: &str = "lepu270";
/// Outage of the primary and one replica, while the replication of the other replica is paused. All
/// times are in milliseconds since the first pause.
struct Outage {
    /// When the replication of the other replica is paused, and resumed.
    paused: (u64, u64),
    down_at: u64,
    primary_up_at: u64,
    replica_up_at: u64,
}

/// Lengths: replication paused for 6.5 s, the replica down for 4 s, the primary for 5 s and then 7 s.
const OUTAGES: [Outage; 2] = [
    Outage {
        paused: (0, 6_500),
        down_at: 1_000,
        primary_up_at: 6_000,
        replica_up_at: 5_000,
    },
    Outage {
        paused: (8_000, 14_500),
        down_at: 10_000,
        primary_up_at: 17_000,
        replica_up_at: 14_000,
    },
];
const RECOVERY_LIMIT: Duration = Duration::from_secs(25);

pub fn run(case: &Case) -> Verdict {
    let failed = |cause: &str| Verdict::Failed(cause.to_owned());
    let group = Group::start(SERVICE, case.network, 3, &case.record);
    group.serve_platform(case.network.platform());
    let Ok(deployment) = Deployment::start(case.network, 3, case.limit) else {
        return failed("the programs don't start");
    };
    let controls = deployment.controls();
    group.announce(&controls);
    let routes = [Route {
        name: ROUTE,
        kind: "primary",
        timeout_ms: 800,
    }];
    if !deployment.configure(1, SERVICE, &routes) || !deployment.serves(ROUTE) {
        return failed("no service");
    }

    let acknowledged = Arc::new(Mutex::new(Vec::<(String, Instant)>::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let writers: Vec<_> = (1..=3)
        .map(|number| {
            let (acknowledged, stop) = (Arc::clone(&acknowledged), Arc::clone(&stop));
            let (callers, record) = (deployment.callers(number), Arc::clone(&case.record));
            thread::spawn(move || write(callers, number, &acknowledged, &stop, &record))
        })
        .collect();
    let count = || acknowledged.lock().map_or(0, |ids| ids.len());
    thread::sleep(Duration::from_secs(3));
    if case.disrupted {
        // With OUTAGES=1, only the second outage is played.
        let only_second = std::env::var("OUTAGES").as_deref() == Ok("1");
        let outages = if only_second {
            &OUTAGES[1..]
        } else {
            &OUTAGES[..]
        };
        play(&group, &controls, outages, &case.record);
    }
    let before = count();
    if !wait_until(RECOVERY_LIMIT, || count() > before + 3) {
        case.record.add("no write is served after the outages");
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for writer in writers {
        let _joined = writer.join();
    }

    let acknowledged = acknowledged
        .lock()
        .map(|ids| ids.clone())
        .unwrap_or_default();
    case.record
        .add(&format!("{} writes were acknowledged", acknowledged.len()));
    let mut broken = false;
    for promotion in group.promotions() {
        let before = acknowledged.iter().filter(|(_, at)| *at < promotion.at);
        let lost: Vec<_> = before
            .filter(|(id, _)| !promotion.ids.contains(id))
            .collect();
        let first: Vec<_> = lost.iter().take(5).map(|(id, _)| id).collect();
        case.record.add(&format!(
            "{} was promoted for term {}; {} writes that were acknowledged before are not in its \
             log, the first {first:?}",
            promotion.id,
            promotion.term,
            lost.len()
        ));
        broken |= !lost.is_empty();
    }
    for line in deployment.log_lines("without writes that may have been acknowledged") {
        case.record.add(&format!("log: {line}"));
    }
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Plays outages of the present primary and of the first replica.
fn play(group: &Group, controls: &[SocketAddr], outages: &[Outage], record: &Record) {
    let primary = group.primary();
    let mut replicas = group.ids().into_iter().filter(|id| *id != primary);
    let (Some(replica), Some(other)) = (replicas.next(), replicas.next()) else {
        return;
    };
    let mut steps: Vec<(u64, Box<dyn Fn() + '_>)> = Vec::new();
    for outage in outages {
        steps.push((
            outage.paused.0,
            Box::new(|| group.pause_replication(&other, true)),
        ));
        steps.push((
            outage.paused.1,
            Box::new(|| group.pause_replication(&other, false)),
        ));
        steps.push((
            outage.down_at,
            Box::new(|| group.crash(&[&primary, &replica])),
        ));
        steps.push((
            outage.primary_up_at,
            Box::new(|| group.restart(&primary, controls)),
        ));
        steps.push((
            outage.replica_up_at,
            Box::new(|| group.restart(&replica, controls)),
        ));
    }
    steps.sort_by_key(|(at, _)| *at);
    let first = steps.first().map_or(0, |(at, _)| *at);
    let start = Instant::now();
    for (at, step) in steps {
        thread::sleep(Duration::from_millis(at - first).saturating_sub(start.elapsed()));
        step();
    }
    record.add("the outages are over");
}

/// Sends writes until told to stop, and notes those that are acknowledged.
fn write(
    callers: SocketAddr,
    number: u8,
    acknowledged: &Mutex<Vec<(String, Instant)>>,
    stop: &AtomicBool,
    record: &Record,
) {
    let (mut client, mut sent) = (None, 0);
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(40));
        let Some(session) = client.as_mut() else {
            client = Client::connect(callers, ROUTE);
            continue;
        };
        sent += 1;
        let id = format!("w{number}x{sent}");
        let text = format!("STORE k{number} {sent}");
        let answer = session.execute(&id, &text);
        let now = Instant::now();
        let outcome = answer.map_or_else(String::new, |answer| answer.outcome);
        record.add(&format!("{id} {text} -> {outcome}"));
        if outcome.is_empty() {
            client = None;
        } else if outcome.starts_with("COMPLETE")
            && let Ok(mut ids) = acknowledged.lock()
        {
            ids.push((id, now));
        }
    }
}
