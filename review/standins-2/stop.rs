//! A planned stop of an entry host while the primary is replaced as planned.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    database::Group,
    deployment::{Client, Deployment, Route, entry_name},
};

const SERVICE: &str = "huvo11a";
const ROUTE: &str = "lepu270";
/// `TimeoutMs` of the route.
const TIMEOUT_MS: u64 = 4_500;
/// `LostSlackMs`.
const LOST_SLACK: Duration = Duration::from_millis(200);
/// When the sessions at the stopping host send their writes, counted from SIGTERM; without the
/// disruption, from the same step.
const SEND_AT: Duration = Duration::from_millis(1_700);
const SESSIONS: usize = 8;

pub fn run(case: &Case) -> Verdict {
    let failed = |cause: &str| Verdict::Failed(cause.to_owned());
    let group = Group::start(SERVICE, case.network, 3, &case.record);
    group.serve_platform(case.network.platform());
    let Ok(deployment) = Deployment::start(case.network, 2, case.limit) else {
        return failed("the programs don't start");
    };
    group.announce(&deployment.controls());
    let routes = [Route {
        name: ROUTE,
        kind: "primary",
        timeout_ms: TIMEOUT_MS,
    }];
    if !deployment.configure(1, SERVICE, &routes) || !deployment.serves(ROUTE) {
        return failed("no service");
    }
    let (stopping, other) = (deployment.callers(1), deployment.callers(2));
    let sessions: Vec<_> = (0..SESSIONS)
        .filter_map(|_| Client::connect(stopping, ROUTE))
        .collect();
    if sessions.len() < SESSIONS {
        return failed("no sessions");
    }

    // A client at the other host runs a transaction of 12 statements with pauses.
    let record = std::sync::Arc::clone(&case.record);
    let transaction = thread::spawn(move || {
        let mut client = Client::connect(other, ROUTE)?;
        for number in 0..12 {
            let text = match number {
                0 => "BEGIN".to_owned(),
                11 => "COMMIT".to_owned(),
                _ => format!("FETCH k{number}"),
            };
            let answer = client.execute(&format!("tx{number}"), &text)?;
            record.add(&format!("tx{number} {text} -> {}", answer.outcome));
            if !answer.outcome.starts_with("COMPLETE") {
                return Some(());
            }
            thread::sleep(Duration::from_millis(700));
        }
        Some(())
    });
    thread::sleep(Duration::from_millis(1_000));
    if case.disrupted {
        group.add(case.network, 4, false);
        thread::sleep(Duration::from_millis(500));
        group.drain_primary(&deployment.controls());
        thread::sleep(Duration::from_millis(300));
        case.record.add("SIGTERM to entry-1");
        deployment.signal(&entry_name(1), "-TERM");
    }
    let terminated = Instant::now();
    let record = &case.record;
    let lost = thread::scope(|scope| {
        let clients = sessions
            .into_iter()
            .enumerate()
            .map(|(number, mut client)| {
                scope.spawn(move || {
                    thread::sleep(SEND_AT.saturating_sub(terminated.elapsed()));
                    let sent = Instant::now();
                    let id = format!("w{number}");
                    let answer = client.execute(&id, &format!("STORE k{number} v"));
                    let took = sent.elapsed();
                    let outcome = answer.as_ref().map(|answer| answer.outcome.as_str());
                    record.add(&format!(
                        "{id} sent {:?} after the stop -> {outcome:?} after {took:?}",
                        sent - terminated
                    ));
                    let timed_out = took >= Duration::from_millis(TIMEOUT_MS);
                    answer.is_none() && took > LOST_SLACK && !timed_out
                })
            });
        let clients: Vec<_> = clients.collect();
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .filter(|lost| *lost)
            .count()
    });
    let ran = group
        .runs()
        .iter()
        .filter(|run| run.id.starts_with('w'))
        .count();
    case.record.add(&format!(
        "{lost} of {SESSIONS} writes got no answer before the connection ended; {ran} ran at a database"
    ));
    let _joined = transaction.join();
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
