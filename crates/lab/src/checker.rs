//! Checks the recorded history of each caller against the final contents of the databases.

use base::{Map, Set};
use serde::Serialize;

use crate::caller::Outcome;

/// Operation that a caller requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A write. With `increments` it adds 1 to the caller's counter; with `inserts_rows` it inserts
    /// the rows `request#1` and `request#2` into the table `ledger`.
    Write {
        /// Name of the request; resends keep it.
        request: String,
        /// Whether the request adds 1 to the caller's counter.
        increments: bool,
        /// Whether the request inserts rows into the ledger.
        inserts_rows: bool,
    },
    /// A read of the caller's own counter.
    Read {
        /// Caller to whom the returned counter belongs.
        owner: i64,
        /// Returned count.
        seen: i64,
    },
}

/// One attempt of a caller to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Service number.
    pub service: usize,
    /// Caller.
    pub caller: i64,
    /// Time at which it was sent, in microseconds since the start of the run.
    pub start: u64,
    /// Time at which its outcome was known, in microseconds since the start of the run.
    pub end: u64,
    /// Requested operation.
    pub action: Action,
    /// Outcome as seen by the caller.
    pub outcome: Outcome,
}

/// Contents of the databases of one service after the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Store {
    /// Counter of each caller.
    pub counters: Map<i64, i64>,
    /// Names of the rows in the ledger.
    pub ledger: Set<String>,
}

/// Number of violations of each kind, and of the requests and reads that were checked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Acknowledged requests.
    pub acknowledged: u64,
    /// Acknowledged requests that are missing in the store.
    pub lost: u64,
    /// Requests that ran more than once.
    pub duplicated: u64,
    /// Reads that did not see the caller's own acknowledged writes.
    pub stale_reads: u64,
    /// Answers that belong to another caller.
    pub crossed: u64,
    /// Transactions that are only partly in the store.
    pub mixed: u64,
    /// Requests reported as not run that are in the store.
    pub false_not_run: u64,
    /// Reads that returned a higher count than the caller had requested.
    pub phantom_reads: u64,
    /// Requests whose outcome the caller never learned.
    pub unknown: u64,
    /// Answered reads.
    pub reads: u64,
}

impl Verdict {
    /// Number of violations.
    #[must_use]
    pub const fn violations(&self) -> u64 {
        self.lost
            + self.duplicated
            + self.stale_reads
            + self.crossed
            + self.mixed
            + self.false_not_run
            + self.phantom_reads
    }
}

/// One request, merged from all its attempts.
#[derive(Debug, Clone, Default)]
struct Request {
    increments: bool,
    inserts_rows: bool,
    /// Time of the first acknowledgement.
    acknowledged: Option<u64>,
    unknown: bool,
    start: u64,
}

/// Checks the history of one service against its store.
///
/// Failed requests count as not run, because the upstream rolled them back.
#[must_use]
pub fn check(events: &[Event], store: &Store) -> Verdict {
    let mut verdict = Verdict::default();
    let mut callers: Map<i64, Map<&str, Request>> = Map::default();
    for event in events {
        if let Action::Write {
            request,
            increments,
            inserts_rows,
        } = &event.action
        {
            record_attempt(
                callers.entry(event.caller).or_default(),
                request,
                (*increments, *inserts_rows),
                event,
            );
        }
    }
    for (caller, requests) in &callers {
        check_rows(requests, store, &mut verdict);
        check_count(*caller, requests, store, &mut verdict);
    }
    for event in events {
        check_read(event, callers.get(&event.caller), &mut verdict);
    }
    verdict
}

/// Merges one attempt into its request.
fn record_attempt<'a>(
    requests: &mut Map<&'a str, Request>,
    name: &'a str,
    (increments, inserts_rows): (bool, bool),
    event: &Event,
) {
    let request = requests.entry(name).or_insert_with(|| Request {
        increments,
        inserts_rows,
        start: event.start,
        ..Request::default()
    });
    request.start = request.start.min(event.start);
    match &event.outcome {
        Outcome::Done => {
            let end = request
                .acknowledged
                .map_or(event.end, |end| end.min(event.end));
            request.acknowledged = Some(end);
        }
        Outcome::Unknown(_) => request.unknown = true,
        Outcome::NotRun(_) | Outcome::Failed(_) => {}
    }
}

/// Checks the ledger rows of each request and counts acknowledged and unknown requests.
fn check_rows(requests: &Map<&str, Request>, store: &Store, verdict: &mut Verdict) {
    for (name, request) in requests {
        if request.acknowledged.is_some() {
            verdict.acknowledged += 1;
        } else if request.unknown {
            verdict.unknown += 1;
        }
        if !request.inserts_rows {
            continue;
        }
        let rows = (1..=2)
            .filter(|i| store.ledger.contains(&format!("{name}#{i}")))
            .count();
        if rows == 1 {
            verdict.mixed += 1;
        } else if request.acknowledged.is_some() && rows == 0 {
            verdict.lost += 1;
        } else if request.acknowledged.is_none() && !request.unknown && rows > 0 {
            verdict.false_not_run += 1;
        }
    }
}

/// Checks that a caller's counter lies between the increments that must have run and those that may
/// have run.
fn check_count(caller: i64, requests: &Map<&str, Request>, store: &Store, verdict: &mut Verdict) {
    let mut minimum = 0;
    let mut undecided = 0;
    let mut not_run = 0;
    for (name, request) in requests.iter().filter(|(_, request)| request.increments) {
        let rows_found = request.inserts_rows && store.ledger.contains(&format!("{name}#1"));
        if request.acknowledged.is_some() || rows_found {
            minimum += 1;
        } else if request.unknown && !request.inserts_rows {
            undecided += 1;
        } else if !request.inserts_rows {
            not_run += 1;
        }
    }
    let count = store.counters.get(&caller).copied().unwrap_or(0);
    if count < minimum {
        verdict.lost += (minimum - count).unsigned_abs();
    }
    if count > minimum + undecided {
        let excess = (count - minimum - undecided).unsigned_abs();
        // A request that ran although it was reported as not run can't be told apart from one that
        // ran twice, so excess increments count as false refusals first.
        let false_refusals = excess.min(not_run);
        verdict.false_not_run += false_refusals;
        verdict.duplicated += excess - false_refusals;
    }
}

/// Checks that a read saw every write acknowledged before it started and none sent after it ended.
fn check_read(event: &Event, requests: Option<&Map<&str, Request>>, verdict: &mut Verdict) {
    let (Action::Read { owner, seen }, Outcome::Done) = (&event.action, &event.outcome) else {
        return;
    };
    verdict.reads += 1;
    if *owner != event.caller {
        verdict.crossed += 1;
        return;
    }
    let Some(requests) = requests else { return };
    let counting = || requests.values().filter(|request| request.increments);
    let minimum = counting()
        .filter(|request| request.acknowledged.is_some_and(|end| end <= event.start))
        .count();
    let maximum = counting()
        .filter(|request| request.start <= event.end)
        .count();
    let seen = usize::try_from(*seen).unwrap_or(0);
    if seen < minimum {
        verdict.stale_reads += 1;
    }
    if seen > maximum {
        verdict.phantom_reads += 1;
    }
}
