//! Behaviour at up to three times the capacity of the databases, and after it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Exit, Map};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

use crate::{
    arguments::{arguments, direct},
    caller::{Outcome, Session},
    deployment::Deployment,
    error::LabError,
    experiment,
    load::{self, Load},
    site::Site,
};

/// Callers per entry process. Each has one request at a time, which bounds the open loop.
const CALLERS: u32 = 300;
/// Callers per entry process that measure the capacity in a closed loop; few enough that their
/// requests never wait until their deadline.
const CLOSED: u32 = 16;
/// Deadline that each caller sets.
const DEADLINE: Duration = Duration::from_millis(500);
/// Execution time of a statement, long enough that the slots and not the machine are the limit.
const STATEMENT_US: u64 = 10_000;
/// One request in so many is a write.
const WRITE: u32 = 10;
/// Share of the capacity after the overload.
const FALLBACK: f64 = 0.5;
/// Part of the peak that the goodput must keep, from the design page.
const KEPT: f64 = 0.9;
/// A window in which every request is answered this quickly has recovered; half of the deadline.
const RECOVERED: Duration = Duration::from_millis(250);
/// Start of a step that is left out of its figures, while the queues reach their new length.
const WARMUP: Duration = Duration::from_secs(1);

arguments! {
    /// Command line of the overload experiment.
    folder = "run/overload",
    #[options(help = "seconds of each step", default = "6")]
    seconds: u64,
    #[options(help = "seed of the load", default = "1")]
    seed: u64,
}

/// One answered request.
#[derive(Debug, Clone)]
struct Answered {
    caller: usize,
    end: Instant,
    took: Duration,
    write: bool,
    outcome: Outcome,
}

type Answers = Arc<Mutex<Vec<Answered>>>;

/// Rate of one step; the callers read it before each request.
#[derive(Debug, Default)]
struct Pace {
    /// Pause between two arrivals of one caller in microseconds; 0 ends the callers.
    pause: AtomicU64,
    skipped: AtomicU64,
}

#[derive(Debug, Clone)]
struct Caller {
    number: usize,
    row: i64,
    address: SocketAddr,
    database: String,
    pace: Arc<Pace>,
    answers: Answers,
}

/// Runs the experiment; it fails when the goodput under overload falls below the target.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let outcome = crate::runtime().and_then(|runtime| runtime.block_on(play(arguments)));
    match outcome {
        Ok((figures, kept)) => {
            println!("{figures:#}");
            if kept { Exit::Done } else { Exit::Failed }
        }
        Err(cause) => {
            eprintln!("overload: {cause}");
            Exit::Failed
        }
    }
}

async fn play(arguments: &Arguments) -> Result<(Value, bool), LabError> {
    let choice = direct(&arguments.programs, &arguments.folder, STATEMENT_US);
    let mut deployment = tokio::task::block_in_place(|| Deployment::start(Site::small(), choice))?;
    let load = Load {
        callers: CALLERS,
        pause: Duration::ZERO,
        probers: 0,
        probe_pause: Duration::ZERO,
        seed: arguments.seed,
    };
    load::prepare(&deployment.site, &load).await?;
    let length = Duration::from_secs(arguments.seconds);
    let answers = Answers::default();
    let mut steps = Vec::new();

    let closed = Arc::new(Pace::default());
    closed.pause.store(1, Ordering::SeqCst);
    let crew = start(&deployment, CLOSED, &closed, &answers, arguments.seed).await?;
    let (figures, capacity) = step(&deployment, "closed loop", length, &answers, &closed).await?;
    steps.push(figures);
    finish(crew, &closed).await;

    let pace = Arc::new(Pace::default());
    pace.pause.store(u64::MAX, Ordering::SeqCst);
    let crew = start(&deployment, CALLERS, &pace, &answers, arguments.seed).await?;
    let callers = f64::from(CALLERS) * float(deployment.site.entries().len() as u64);
    let mut goodputs = vec![capacity];
    let capacity = capacity.all;
    for times in [1.0, 2.0, 3.0] {
        set_rate(&pace, capacity * times / callers);
        let name = format!("{times} times the capacity");
        let (figures, goodput) = step(&deployment, &name, length, &answers, &pace).await?;
        steps.push(figures);
        goodputs.push(goodput);
    }
    let fall = Instant::now();
    set_rate(&pace, capacity * FALLBACK / callers);
    let name = format!("{FALLBACK} times the capacity, after the overload");
    let (figures, _) = step(&deployment, &name, length, &answers, &pace).await?;
    steps.push(figures);
    finish(crew, &pace).await;

    let all = answers
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let mismatches = count_mismatches(&deployment, &all).await?;
    let stopped_badly = tokio::task::block_in_place(|| deployment.stop());
    let all_kept = kept(&goodputs, |rate| rate.all);
    let reads_kept = kept(&goodputs, |rate| rate.reads);
    let figures = json!({
        "seed": arguments.seed,
        "callers": callers,
        "capacity_per_second": capacity.round(),
        "steps": steps,
        "goodput_kept": all_kept,
        "reads_kept": reads_kept,
        "recovery_ms": millis(recovery(&all, fall)),
        "write_mismatches": mismatches,
        "stopped_badly": stopped_badly,
    });
    let passed = all_kept.min(reads_kept) >= KEPT && mismatches == 0 && stopped_badly.is_empty();
    Ok((figures, passed))
}

/// Part of the peak that the last step keeps.
fn kept(goodputs: &[Rate], of: impl Fn(&Rate) -> f64) -> f64 {
    let peak = goodputs.iter().map(&of).fold(0.0, f64::max);
    goodputs.last().map_or(0.0, |last| of(last) / peak)
}

/// Sets the rate of each caller, in requests per second.
fn set_rate(pace: &Pace, rate: f64) {
    let pause = Duration::from_secs_f64(1.0 / rate);
    pace.pause.store(micros(pause), Ordering::SeqCst);
}

async fn start(
    deployment: &Deployment,
    count: u32,
    pace: &Arc<Pace>,
    answers: &Answers,
    seed: u64,
) -> Result<Vec<tokio::task::JoinHandle<()>>, LabError> {
    let entries = deployment.site.entries();
    let mut tasks = Vec::new();
    for number in 0..count as usize * entries.len() {
        let caller = Caller {
            number,
            row: i64::try_from(number).unwrap_or(0),
            address: entries[number % entries.len()].address(),
            database: deployment.site.services[0].clone(),
            pace: Arc::clone(pace),
            answers: Arc::clone(answers),
        };
        let failed = |outcome| LabError::Admin(format!("{}: {outcome:?}", caller.address));
        let session = Session::open(caller.address, &caller.database, None)
            .await
            .map_err(failed)?;
        let deadline = format!("SET goldcrestrail.deadline = '{}'", DEADLINE.as_millis());
        session.simple(&deadline).await.map_err(failed)?;
        let random = SmallRng::seed_from_u64(seed ^ (number as u64).wrapping_mul(0x9e37_79b9));
        tasks.push(tokio::spawn(caller.work(session, random)));
    }
    Ok(tasks)
}

async fn finish(tasks: Vec<tokio::task::JoinHandle<()>>, pace: &Pace) {
    pace.pause.store(0, Ordering::SeqCst);
    for task in tasks {
        let _panicked = task.await;
    }
}

impl Caller {
    /// Sends requests at random moments of the set rate; one that falls due while the last is not
    /// answered is skipped and counted.
    async fn work(self, session: Session, mut random: SmallRng) {
        let mut due = Instant::now();
        loop {
            let pause = self.pace.pause.load(Ordering::SeqCst);
            if pause == 0 {
                return;
            }
            let now = Instant::now();
            if pause == u64::MAX {
                tokio::time::sleep(Duration::from_millis(10)).await;
                due = Instant::now() + WARMUP.mul_f64(random.random_range(0.0..0.2));
                continue;
            }
            if due > now {
                // Short slices, so that a changed rate is noticed.
                tokio::time::sleep((due - now).min(Duration::from_millis(50))).await;
                continue;
            }
            self.request(&session, random.random_ratio(1, WRITE)).await;
            let end = Instant::now();
            loop {
                let even: f64 = random.random_range(f64::EPSILON..1.0);
                due += Duration::from_micros(pause).mul_f64(-even.ln());
                if due >= end || pause <= 1 {
                    break;
                }
                self.pace.skipped.fetch_add(1, Ordering::SeqCst);
            }
        }
    }

    async fn request(&self, session: &Session, write: bool) {
        let row = self.row;
        let sql = if write {
            format!("UPDATE counter SET n = n + 1 WHERE caller = {row}")
        } else {
            format!("SELECT caller, n FROM counter WHERE caller = {row}")
        };
        let sent = Instant::now();
        let outcome = session.simple(&sql).await.err().unwrap_or(Outcome::Done);
        let end = Instant::now();
        let answered = Answered {
            caller: self.number,
            end,
            took: end - sent,
            write,
            outcome,
        };
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.push(answered);
    }
}

/// Counters of all entry processes that a step changes.
struct Counters {
    waits: Map<String, f64>,
    sum: f64,
}

impl Counters {
    fn read(deployment: &Deployment) -> Result<Self, LabError> {
        let name = |part: &str| format!("goldcrestrail_queue_seconds_{part}");
        let sums = experiment::sum_metric(deployment, &name("sum"), "none")?;
        Ok(Self {
            waits: experiment::sum_metric(deployment, &name("bucket"), "le")?,
            sum: sums.values().sum(),
        })
    }

    /// Mean wait since `before` in milliseconds, and the bound of the bucket that holds the 99th
    /// percentile.
    fn since(&self, before: &Self) -> Value {
        let grown = |bound: &String| {
            self.waits.get(bound).copied().unwrap_or(0.0)
                - before.waits.get(bound).copied().unwrap_or(0.0)
        };
        let all = grown(&"+Inf".to_owned());
        let mut bounds: Vec<(f64, f64)> = self
            .waits
            .keys()
            .filter_map(|bound| Some((bound.parse().ok()?, grown(bound))))
            .collect();
        bounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let p99 = bounds.iter().find(|(_, below)| *below >= all * 0.99);
        json!({
            "requests": all,
            "mean_ms": (self.sum - before.sum) / all.max(1.0) * 1_000.0,
            "p99_below_ms": p99.map(|(bound, _)| bound * 1_000.0),
        })
    }
}

/// Goodput in answers per second.
///
/// The reads alone are kept too: only the replicas serve them, so that more writes on a primary
/// with free slots do not hide a loss of reads.
#[derive(Debug, Clone, Copy)]
struct Rate {
    all: f64,
    reads: f64,
}

/// Figures of one step, and its goodput.
async fn step(
    deployment: &Deployment,
    name: &str,
    length: Duration,
    answers: &Answers,
    pace: &Pace,
) -> Result<(Value, Rate), LabError> {
    tokio::time::sleep(WARMUP).await;
    let read = || tokio::task::block_in_place(|| Counters::read(deployment));
    let before = read()?;
    let skipped = pace.skipped.load(Ordering::SeqCst);
    let start = Instant::now();
    tokio::time::sleep(length).await;
    let end = Instant::now();
    let skipped = pace.skipped.load(Ordering::SeqCst) - skipped;
    let waits = read()?.since(&before);
    let own: Vec<Answered> = answers
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .iter()
        .filter(|answer| (start..end).contains(&answer.end))
        .cloned()
        .collect();
    let seconds = (end - start).as_secs_f64();
    let mut refusals: Map<String, u64> = Map::default();
    let mut shares: Map<usize, (u64, u64)> = Map::default();
    let mut reads = Histogram::new(3).expect("3 digits are a valid precision");
    let mut writes = reads.clone();
    let mut refused = reads.clone();
    let mut good = 0_u64;
    let mut good_reads = 0_u64;
    for answer in &own {
        let share = shares.entry(answer.caller).or_default();
        share.0 += 1;
        match &answer.outcome {
            Outcome::Done => {
                let on_time = answer.took <= DEADLINE;
                good += u64::from(on_time);
                good_reads += u64::from(on_time && !answer.write);
                share.1 += 1;
                let kind = if answer.write {
                    &mut writes
                } else {
                    &mut reads
                };
                crate::record_value(kind, micros(answer.took));
            }
            Outcome::NotRun(code) | Outcome::Unknown(code) | Outcome::Failed(code) => {
                *refusals.entry(code.clone()).or_default() += 1;
                crate::record_value(&mut refused, micros(answer.took));
            }
        }
    }
    let goodput = float(good) / seconds;
    let entries = deployment.site.entries().len();
    let within: Vec<f64> = (0..entries)
        .map(|entry| {
            let own = shares
                .iter()
                .filter(|(caller, _)| *caller % entries == entry);
            fairness(own.map(|(_, share)| *share))
        })
        .collect();
    let quantiles = |histogram: &Histogram<u64>| {
        json!({
            "count": histogram.len(),
            "p50_ms": float(histogram.value_at_quantile(0.5)) / 1_000.0,
            "p99_ms": float(histogram.value_at_quantile(0.99)) / 1_000.0,
        })
    };
    let figures = json!({
        "step": name,
        "sent_per_second": float(own.len() as u64) / seconds,
        "skipped_per_second": float(skipped) / seconds,
        "goodput_per_second": goodput,
        "refusals": refusals,
        "reads": quantiles(&reads),
        "writes": quantiles(&writes),
        "refused": quantiles(&refused),
        "queue": waits,
        "fairness": fairness(shares.values().copied()),
        "fairness_within_entries": within,
    });
    let rate = Rate {
        all: goodput,
        reads: float(good_reads) / seconds,
    };
    Ok((figures, rate))
}

/// Jain's index of the part of its requests that each caller got answered: 1 when all are equal.
fn fairness(shares: impl Iterator<Item = (u64, u64)>) -> f64 {
    let parts: Vec<f64> = shares
        .map(|(sent, done)| float(done) / float(sent))
        .collect();
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|part| part * part).sum();
    sum * sum / (float(parts.len() as u64) * squares)
}

/// Time from the fall of the load to the last answer that was a refusal or came late.
fn recovery(answers: &[Answered], fall: Instant) -> Duration {
    let bad = answers
        .iter()
        .filter(|answer| answer.end > fall)
        .filter(|answer| answer.outcome != Outcome::Done || answer.took > RECOVERED);
    bad.map(|answer| answer.end - fall)
        .max()
        .unwrap_or_default()
}

/// Callers whose counter is below their acknowledged writes or above those that may have run.
async fn count_mismatches(deployment: &Deployment, answers: &[Answered]) -> Result<u64, LabError> {
    let primary = deployment
        .primary(0)?
        .ok_or_else(|| LabError::NotReady("primary of the first service".into()))?;
    let store = crate::stores::read(primary.address(), &deployment.site.services[0]).await?;
    let mut bounds: Map<i64, (i64, i64)> = Map::default();
    for answer in answers.iter().filter(|answer| answer.write) {
        let caller = i64::try_from(answer.caller).unwrap_or(0);
        let bound = bounds.entry(caller).or_default();
        match answer.outcome {
            Outcome::Done => {
                bound.0 += 1;
                bound.1 += 1;
            }
            Outcome::Unknown(_) => bound.1 += 1,
            Outcome::NotRun(_) | Outcome::Failed(_) => {}
        }
    }
    let wrong = bounds.iter().filter(|(caller, (least, most))| {
        let count = store.counters.get(*caller).copied().unwrap_or(0);
        !(*least..=*most).contains(&count)
    });
    Ok(wrong.count() as u64)
}

fn float(value: u64) -> f64 {
    u32::try_from(value).map_or(f64::INFINITY, f64::from)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
