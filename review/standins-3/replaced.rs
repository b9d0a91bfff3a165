//! Replicas are lost for good and replaced; later the primary is lost or leaves, and all processes are
//! killed.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Deployment, OWN_ROUTE, PRIMARY_ROUTE, Sizes, run_once},
    record::Record,
};

/// Time between the loss of a database and the start of the one that replaces it.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// Time in which requests are served after the replica was replaced.
const CALM: Duration = Duration::from_secs(30);
/// Time between the loss of the primary and the final fault.
const FINAL_FAULT_AFTER: Duration = Duration::from_millis(500);
/// Time for which the processes are down in the final fault.
const PROCESSES_DOWN: Duration = Duration::from_millis(500);
/// `RecoverS` of the site.
const RECOVER: Duration = Duration::from_secs(12);
/// Time after that in which requests are counted.
const COUNTED: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(200);

/// Time between the announcement that the primary leaves and its end: `DrainMs` of the site and a second.
const LEAVES_AFTER: Duration = Duration::from_secs(8);

/// The primary, and the database that replaces it.
const PRIMARY: (&str, &str) = ("i-7f3a91c2", "i-c41d03f7");
/// The replicas, and the databases that replace them.
const REPLICAS: [(&str, &str); 2] = [("i-2b90e1c4", "i-90aa11b2"), ("i-5c0e7a21", "i-d2f86e03")];

const SIZES: Sizes = Sizes {
    memory_mb: 260,
    descriptors: 4_200,
    connections: 16,
    timeout_ms: 800,
    idle_ms: 3_000,
    entries: 2,
};

/// What happens to the primary.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// One replica was replaced, and the primary is lost for good.
    Loss,
    /// Both replicas were replaced, and the primary is replaced as planned: the new database starts
    /// first, then the primary announces that it leaves, and ends later.
    Release,
}

/// Requests of an ordinary client.
struct Client<'a> {
    record: &'a Record,
    deployment: &'a Deployment,
    number: usize,
}

impl Client<'_> {
    /// Sends writes and reads by turns for `length`, and returns how many were sent and served.
    fn send(&mut self, length: Duration) -> (usize, usize) {
        let (start, mut sent, mut served) = (Instant::now(), 0, 0);
        while start.elapsed() < length {
            self.number += 1;
            let (route, text) = match self.number % 2 {
                0 => (PRIMARY_ROUTE, "STORE 1a4 xkqpwnzd"),
                _ => (OWN_ROUTE, "FETCH 1a4"),
            };
            let id = format!("q{}", self.number);
            let answer = run_once(self.deployment.front, route, &id, text);
            self.record
                .line(&format!("{id} {route} {text}: {answer:?}"));
            sent += 1;
            served += usize::from(answer.is_ok());
            thread::sleep(PAUSE);
        }
        (sent, served)
    }
}

pub fn run(record: &Record, trouble: bool, event: Event) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(record, &SIZES)?;
    let lost = if event == Event::Loss { 1 } else { 2 };
    for names in REPLICAS.iter().take(lost).filter(|_| trouble) {
        replace(record, &deployment, *names)?;
    }
    let mut client = Client {
        record,
        deployment: &deployment,
        number: 0,
    };
    let (sent, served) = client.send(CALM);
    let number = client.number;
    record.line(&format!(
        "before the final fault: {served} of {sent} requests served"
    ));
    if served * 4 < sent {
        return Err("less than a quarter was served before the final fault".to_owned());
    }
    let primary = deployment.database(PRIMARY.0)?;
    if event == Event::Release {
        add(record, &deployment, PRIMARY)?;
        thread::sleep(REPLACED_AFTER);
        primary.drain();
        thread::spawn(move || {
            thread::sleep(LEAVES_AFTER);
            primary.crash();
        });
    } else {
        primary.crash();
    }
    thread::sleep(FINAL_FAULT_AFTER);
    // FINAL=0 leaves the final fault out, which shows that the loss alone has the same effect.
    if std::env::var("FINAL").as_deref() != Ok("0") {
        record.line("final fault: all processes are killed");
        deployment.kill_all(PROCESSES_DOWN)?;
        record.line("all processes are started again");
    }
    let back = Instant::now();
    if event == Event::Loss {
        thread::sleep(REPLACED_AFTER);
        add(record, &deployment, PRIMARY)?;
    }
    thread::sleep(RECOVER.saturating_sub(back.elapsed()));
    let mut client = Client {
        record,
        deployment: &deployment,
        number,
    };
    let (sent, served) = client.send(COUNTED);
    record.line(&format!(
        "later than RecoverS after the processes were back: {served} of {sent} requests served"
    ));
    Ok(if served * 4 < sent {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Ends a database for good, and starts another in its place.
fn replace(record: &Record, deployment: &Deployment, names: (&str, &str)) -> Result<(), String> {
    deployment.database(names.0)?.crash();
    thread::sleep(REPLACED_AFTER);
    add(record, deployment, names)
}

fn add(record: &Record, deployment: &Deployment, (lost, new): (&str, &str)) -> Result<(), String> {
    deployment.add_database(new, "graz-sued")?;
    record.line(&format!("database {new} starts in the place of {lost}"));
    Ok(())
}
