//! Sessions that each begin a transaction with a message of legal size, and then rest.

use std::{thread, time::Duration};

use crate::{
    Case, Verdict,
    database::Group,
    deployment::{Client, Deployment, MEMORY_MB, Route, entry_name},
};

const SERVICE: &str = "huvo11a";
const ROUTE: &str = "lepu270";
/// Sessions; the sheet names about 296 that stand open.
const SESSIONS: usize = 296;
/// Length of the id of a query, so that the message stays under 1 MiB.
const ID_BYTES: usize = (1 << 20) - 64;
const SENDERS: usize = 8;

pub fn run(case: &Case) -> Verdict {
    let failed = |cause: &str| Verdict::Failed(cause.to_owned());
    let group = Group::start(SERVICE, case.network, 3, &case.record);
    group.serve_platform(case.network.platform());
    let Ok(deployment) = Deployment::start(case.network, 1, case.limit) else {
        return failed("the programs don't start");
    };
    group.announce(&deployment.controls());
    let routes = [Route {
        name: ROUTE,
        kind: "primary",
        timeout_ms: 800,
    }];
    if !deployment.configure(1, SERVICE, &routes) || !deployment.serves(ROUTE) {
        return failed("no service");
    }
    let entry = entry_name(1);
    let report = |what: &str| {
        let memory = deployment.memory_mb(&entry);
        let running = deployment.is_running(&entry);
        case.record.add(&format!(
            "{what}: running {running}, memory now and at most {memory:?} MB"
        ));
        memory.map_or(0, |(_, most)| most)
    };
    report("before the crowd");
    let bytes = if case.disrupted { ID_BYTES } else { 16 };
    let callers = deployment.callers(1);
    case.record.add(&format!(
        "{SESSIONS} sessions send QUERY id BEGIN with an id of {bytes} bytes"
    ));
    let senders: Vec<_> = (0..SENDERS)
        .map(|sender| {
            thread::spawn(move || {
                let own = (0..SESSIONS).filter(|i| i % SENDERS == sender);
                own.filter_map(|i| begin(callers, i, bytes))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let mut open = Vec::new();
    for sender in senders {
        open.extend(sender.join().unwrap_or_default());
    }
    report(&format!("{} transactions are begun", open.len()));
    // Longer than `TxIdleMs`.
    thread::sleep(Duration::from_secs(4));
    let most = report("4 s later");
    let mut ordinary = Client::connect(callers, ROUTE);
    let answer = ordinary
        .as_mut()
        .and_then(|client| client.execute("last", "STORE k1 v1"));
    case.record
        .add(&format!("an ordinary write is answered {answer:?}"));
    if !deployment.is_running(&entry) || most > MEMORY_MB {
        return Verdict::Broken;
    }
    Verdict::Held
}

/// Opens a session that begins a transaction and stays open.
fn begin(callers: std::net::SocketAddr, number: usize, bytes: usize) -> Option<Client> {
    let mut client = Client::connect(callers, ROUTE)?;
    let number = number.to_string();
    let id = "0".repeat(bytes - number.len()) + &number;
    let answer = client.execute(&id, "BEGIN")?;
    answer.outcome.starts_with("COMPLETE").then_some(client)
}
