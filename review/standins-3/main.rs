//! Cases of the third review. Each starts the project's programs on loopback addresses beside
//! stand-ins of databases, platform, operator and clients, and checks one promise.
//!
//! Usage: `cases NAME RECORD`, with the repository as working directory. Exit codes: 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod crowd;
mod database;
mod deployment;
mod http;
mod memory;
mod record;
mod replaced;
mod shapes;

use std::process::ExitCode;

use record::Record;
use replaced::Event;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let words: Vec<_> = arguments.iter().map(String::as_str).collect();
    let (name, file) = match words[..] {
        [_, "crowd", ref rest @ ..] => return crowd::run_child(rest),
        [_, name, file] => (name, file),
        _ => return ExitCode::from(2),
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(file);
    record.line(&format!("case {name}, trouble {trouble}"));
    let outcome = match name {
        "names" => {
            let names = if trouble { 900 } else { 1 };
            memory::run(&record, trouble, 600, names)
        }
        "replaced" => replaced::run(&record, trouble, Event::Loss),
        "replaced-release" => replaced::run(&record, trouble, Event::Release),
        "shapes" => shapes::run(&record, trouble),
        _ => Err(format!("there is no case {name}")),
    };
    let (text, code) = match outcome {
        Ok(Verdict::Held) => ("held".to_owned(), 0),
        Ok(Verdict::Broken) => ("broken".to_owned(), 1),
        Err(cause) => (format!("could not run: {cause}"), 2),
    };
    record.line(&format!("result: {text}"));
    ExitCode::from(code)
}
