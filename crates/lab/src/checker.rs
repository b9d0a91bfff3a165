//! Checks callers' histories against what the databases hold.

use base::{Map, Set};
use serde::Serialize;

use crate::caller::Outcome;

/// What a caller asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A write of one request. Every request that counts adds 1 to the caller's counter; every
    /// request that files leaves rows `request#1` and `request#2` in the ledger.
    Write {
        /// Name of the request, the same for each resend.
        request: String,
        /// Whether it adds to the counter.
        counts: bool,
        /// Whether it files rows in the ledger.
        files: bool,
    },
    /// A read of the caller's own counter.
    Read {
        /// Caller whose counter was answered.
        owner: i64,
        /// Count that was answered.
        seen: i64,
    },
}

/// One attempt of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Service number.
    pub service: usize,
    /// Caller.
    pub caller: i64,
    /// When it was sent, in microseconds since the start of the run.
    pub start: u64,
    /// When its outcome was known, in microseconds since the start of the run.
    pub end: u64,
    /// What was asked.
    pub action: Action,
    /// What it came to.
    pub outcome: Outcome,
}

/// What the databases of one service hold after the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Store {
    /// Count of each caller.
    pub counters: Map<i64, i64>,
    /// Row names in the ledger.
    pub ledger: Set<String>,
}

/// Violations found, and what was examined.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Requests acknowledged.
    pub acknowledged: u64,
    /// Acknowledged requests that are not in the store.
    pub lost: u64,
    /// Requests that ran more often than once.
    pub duplicated: u64,
    /// Reads that missed the caller's own acknowledged writes.
    pub stale_reads: u64,
    /// Answers that belong to another caller.
    pub crossed: u64,
    /// Transactions of which only a part is in the store.
    pub mixed: u64,
    /// Requests refused as not run that are in the store.
    pub false_not_run: u64,
    /// Reads that showed more than was ever asked for.
    pub phantom_reads: u64,
    /// Requests whose outcome the caller never learnt.
    pub unknown: u64,
    /// Reads answered.
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

/// One request over all its attempts.
#[derive(Debug, Clone, Default)]
struct Request {
    counts: bool,
    files: bool,
    acknowledged: Option<u64>,
    unknown: bool,
    start: u64,
}

/// Checks one service.
///
/// Failed requests count as not run: the upstream rolled them back.
#[must_use]
pub fn check(events: &[Event], store: &Store) -> Verdict {
    let mut verdict = Verdict::default();
    let mut callers: Map<i64, Map<&str, Request>> = Map::default();
    for event in events {
        if let Action::Write {
            request,
            counts,
            files,
        } = &event.action
        {
            note(
                callers.entry(event.caller).or_default(),
                request,
                (*counts, *files),
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

fn note<'a>(
    requests: &mut Map<&'a str, Request>,
    name: &'a str,
    (counts, files): (bool, bool),
    event: &Event,
) {
    let request = requests.entry(name).or_insert_with(|| Request {
        counts,
        files,
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

fn check_rows(requests: &Map<&str, Request>, store: &Store, verdict: &mut Verdict) {
    for (name, request) in requests {
        if request.acknowledged.is_some() {
            verdict.acknowledged += 1;
        } else if request.unknown {
            verdict.unknown += 1;
        }
        if !request.files {
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

fn check_count(caller: i64, requests: &Map<&str, Request>, store: &Store, verdict: &mut Verdict) {
    let mut least = 0;
    let mut open = 0;
    let mut refused = 0;
    for (name, request) in requests.iter().filter(|(_, request)| request.counts) {
        let filed = request.files && store.ledger.contains(&format!("{name}#1"));
        if request.acknowledged.is_some() || filed {
            least += 1;
        } else if request.unknown && !request.files {
            open += 1;
        } else if !request.files {
            refused += 1;
        }
    }
    let count = store.counters.get(&caller).copied().unwrap_or(0);
    if count < least {
        verdict.lost += (least - count).unsigned_abs();
    }
    if count > least + open {
        let over = (count - least - open).unsigned_abs();
        // A request that was refused as not run but ran looks the same as one that ran twice.
        let false_refusals = over.min(refused);
        verdict.false_not_run += false_refusals;
        verdict.duplicated += over - false_refusals;
    }
}

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
    let counting = || requests.values().filter(|request| request.counts);
    let least = counting()
        .filter(|request| request.acknowledged.is_some_and(|end| end <= event.start))
        .count();
    let most = counting()
        .filter(|request| request.start <= event.end)
        .count();
    let seen = usize::try_from(*seen).unwrap_or(0);
    if seen < least {
        verdict.stale_reads += 1;
    }
    if seen > most {
        verdict.phantom_reads += 1;
    }
}
