//! Cases of the second review: each starts the programs of the deploy file beside stand-ins of
//! clients, databases and the platform, and checks one rule.
//!
//! `cases NAME FOLDER` writes `record.txt` into the folder and exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod database;
mod deployment;
mod net;

mod begin;
mod failed_set;
mod foreign_heartbeat;
mod outages;
mod stop;

use std::{path::PathBuf, process::exit, sync::Arc, time::Duration};

use net::{Network, Record};

/// Time after which a case ends all processes.
const CASE_LIMIT: Duration = Duration::from_secs(112);

/// What a case starts with.
pub struct Case {
    pub network: Network,
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub disrupted: bool,
    pub limit: Duration,
}

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken,
    /// It couldn't run.
    Failed(String),
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let record = match Record::create(&PathBuf::from(folder)) {
        Ok(record) => Arc::new(record),
        Err(cause) => {
            eprintln!("record.txt: {cause}");
            exit(2);
        }
    };
    let case = Case {
        network: Network::pick(),
        record: Arc::clone(&record),
        disrupted: std::env::var("TROUBLE").as_deref() != Ok("0"),
        limit: CASE_LIMIT,
    };
    record.add(&format!("case {name}, disrupted {}", case.disrupted));
    let verdict = match name.as_str() {
        "begin" => begin::run(&case),
        "failed-set" => failed_set::run(&case),
        "foreign-heartbeat" => foreign_heartbeat::run(&case),
        "outages" => outages::run(&case),
        "stop" => stop::run(&case),
        _ => Verdict::Failed("there is no such case".to_owned()),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Failed(cause) => (format!("couldn't run: {cause}"), 2),
    };
    record.add(&text);
    println!("{name}: {text}");
    exit(code);
}
