//! Measures goodput at up to three times the capacity of the databases, and the recovery
//! afterwards.

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
    arguments::{arguments, direct_options},
    caller::{Outcome, Session},
    deployment::Deployment,
    error::LabError,
    experiment,
    load::{self, Load},
    site::Site,
};

/// Number of callers per entry process in the open loop. Each has at most one outstanding request,
/// which bounds the load.
const CALLERS: u32 = 300;
/// Number of callers per entry process in the closed loop that measures the capacity; few enough
/// that no request waits until its deadline.
const CLOSED_LOOP_CALLERS: u32 = 16;
/// Deadline that each caller sets for its requests.
const DEADLINE: Duration = Duration::from_millis(500);
/// Execution time of a statement, long enough that the slots of the databases are the bottleneck
/// and not the machine.
const STATEMENT_US: u64 = 10_000;
/// One of this many requests is a write.
const REQUESTS_PER_WRITE: u32 = 10;
/// Load after the overload, as a share of the capacity.
const RECOVERY_LOAD: f64 = 0.5;
/// Minimum goodput under overload, as a share of the peak; required by the design document.
const MIN_GOODPUT_SHARE: f64 = 0.9;
/// The system has recovered once every request is answered within this time, half of the deadline.
const RECOVERED_LATENCY: Duration = Duration::from_millis(250);
/// Time at the start of a step that is not measured, while the queues reach their new length.
const WARMUP: Duration = Duration::from_secs(1);

arguments! {
    /// Command line of the overload experiment.
    folder = "run/overload",
    #[options(help = "seconds of each step", default = "6")]
    seconds: u64,
    #[options(help = "seed of the load", default = "1")]
    seed: u64,
}

/// A completed request.
#[derive(Debug, Clone)]
struct Completed {
    caller: usize,
    end: Instant,
    latency: Duration,
    write: bool,
    outcome: Outcome,
}

type Answers = Arc<Mutex<Vec<Completed>>>;

/// Request rate of the current step, which the callers read before each request.
#[derive(Debug, Default)]
struct RateControl {
    /// Mean interval between two requests of a caller in microseconds; 0 stops the callers,
    /// 1 makes them send without pause (closed loop), and `u64::MAX` suspends them.
    interval: AtomicU64,
    /// Number of requests not sent because the caller's previous one was not completed in time.
    skipped: AtomicU64,
}

#[derive(Debug, Clone)]
struct Caller {
    number: usize,
    row: i64,
    address: SocketAddr,
    database: String,
    rate_control: Arc<RateControl>,
    answers: Answers,
}

/// Runs the experiment.
///
/// It fails when the goodput under overload is below the required share, a counter does not match
/// the acknowledged writes, or a process does not shut down cleanly.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let outcome = crate::runtime().and_then(|runtime| runtime.block_on(measure(arguments)));
    match outcome {
        Ok((results, passed)) => {
            println!("{results:#}");
            if passed { Exit::Done } else { Exit::Failed }
        }
        Err(cause) => {
            eprintln!("overload: {cause}");
            Exit::Failed
        }
    }
}

async fn measure(arguments: &Arguments) -> Result<(Value, bool), LabError> {
    let options = direct_options(&arguments.programs, &arguments.folder, STATEMENT_US);
    let mut deployment = tokio::task::block_in_place(|| Deployment::start(Site::small(), options))?;
    let load = Load {
        callers: CALLERS,
        pause: Duration::ZERO,
        probers: 0,
        probe_pause: Duration::ZERO,
        seed: arguments.seed,
    };
    load::prepare(&deployment.site, &load).await?;
    let duration = Duration::from_secs(arguments.seconds);
    let answers = Answers::default();
    let mut steps = Vec::new();

    let closed = Arc::new(RateControl::default());
    closed.interval.store(1, Ordering::SeqCst);
    let tasks = start_callers(
        &deployment,
        CLOSED_LOOP_CALLERS,
        &closed,
        &answers,
        arguments.seed,
    )
    .await?;
    let (figures, capacity) =
        measure_step(&deployment, "closed loop", duration, &answers, &closed).await?;
    steps.push(figures);
    stop_callers(tasks, &closed).await;

    let rate_control = Arc::new(RateControl::default());
    rate_control.interval.store(u64::MAX, Ordering::SeqCst);
    let tasks = start_callers(
        &deployment,
        CALLERS,
        &rate_control,
        &answers,
        arguments.seed,
    )
    .await?;
    let callers = f64::from(CALLERS) * float(deployment.site.entries().len() as u64);
    let mut goodputs = vec![capacity];
    let capacity = capacity.all;
    for times in [1.0, 2.0, 3.0] {
        set_rate(&rate_control, capacity * times / callers);
        let name = format!("{times} times the capacity");
        let (figures, goodput) =
            measure_step(&deployment, &name, duration, &answers, &rate_control).await?;
        steps.push(figures);
        goodputs.push(goodput);
    }
    let load_drop = Instant::now();
    set_rate(&rate_control, capacity * RECOVERY_LOAD / callers);
    let name = format!("{RECOVERY_LOAD} times the capacity, after the overload");
    let (figures, _) = measure_step(&deployment, &name, duration, &answers, &rate_control).await?;
    steps.push(figures);
    stop_callers(tasks, &rate_control).await;

    let all = answers
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let mismatches = count_mismatches(&deployment, &all).await?;
    let stopped_badly = tokio::task::block_in_place(|| deployment.stop());
    let all_kept = goodput_share(&goodputs, |rate| rate.all);
    let reads_kept = goodput_share(&goodputs, |rate| rate.reads);
    let figures = json!({
        "seed": arguments.seed,
        "callers": callers,
        "capacity_per_second": capacity.round(),
        "steps": steps,
        "goodput_kept": all_kept,
        "reads_kept": reads_kept,
        "recovery_ms": millis(recovery(&all, load_drop)),
        "write_mismatches": mismatches,
        "stopped_badly": stopped_badly,
    });
    let passed = all_kept.min(reads_kept) >= MIN_GOODPUT_SHARE
        && mismatches == 0
        && stopped_badly.is_empty();
    Ok((figures, passed))
}

/// Goodput of the last step, as a share of the peak.
fn goodput_share(goodputs: &[Goodput], of: impl Fn(&Goodput) -> f64) -> f64 {
    let peak = goodputs.iter().map(&of).fold(0.0, f64::max);
    goodputs.last().map_or(0.0, |last| of(last) / peak)
}

/// Sets the request rate of each caller, in requests per second.
fn set_rate(rate_control: &RateControl, rate: f64) {
    let interval = Duration::from_secs_f64(1.0 / rate);
    rate_control
        .interval
        .store(micros(interval), Ordering::SeqCst);
}

/// Opens `count` sessions per entry process and starts their callers.
async fn start_callers(
    deployment: &Deployment,
    count: u32,
    rate_control: &Arc<RateControl>,
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
            rate_control: Arc::clone(rate_control),
            answers: Arc::clone(answers),
        };
        let failed = |outcome| LabError::Admin(format!("{}: {outcome:?}", caller.address));
        let session = Session::open(caller.address, &caller.database, None)
            .await
            .map_err(failed)?;
        let deadline = format!("SET goldcrestrail.deadline = '{}'", DEADLINE.as_millis());
        session.simple(&deadline).await.map_err(failed)?;
        let random = SmallRng::seed_from_u64(seed ^ (number as u64).wrapping_mul(0x9e37_79b9));
        tasks.push(tokio::spawn(caller.run(session, random)));
    }
    Ok(tasks)
}

/// Stops the callers and waits for them.
async fn stop_callers(tasks: Vec<tokio::task::JoinHandle<()>>, rate_control: &RateControl) {
    rate_control.interval.store(0, Ordering::SeqCst);
    for task in tasks {
        let _panicked = task.await;
    }
}

impl Caller {
    /// Sends requests at random times with the current rate. A request that is due before the
    /// previous one is completed is skipped and counted.
    async fn run(self, session: Session, mut random: SmallRng) {
        let mut due = Instant::now();
        loop {
            let interval = self.rate_control.interval.load(Ordering::SeqCst);
            if interval == 0 {
                return;
            }
            let now = Instant::now();
            if interval == u64::MAX {
                tokio::time::sleep(Duration::from_millis(10)).await;
                due = Instant::now() + WARMUP.mul_f64(random.random_range(0.0..0.2));
                continue;
            }
            if due > now {
                // Sleeps at most 50 ms at a time, to notice a change of the rate.
                tokio::time::sleep((due - now).min(Duration::from_millis(50))).await;
                continue;
            }
            self.request(&session, random.random_ratio(1, REQUESTS_PER_WRITE))
                .await;
            let end = Instant::now();
            loop {
                let uniform: f64 = random.random_range(f64::EPSILON..1.0);
                due += Duration::from_micros(interval).mul_f64(-uniform.ln());
                if due >= end || interval <= 1 {
                    break;
                }
                self.rate_control.skipped.fetch_add(1, Ordering::SeqCst);
            }
        }
    }

    /// Sends a request and records its outcome.
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
        let answered = Completed {
            caller: self.number,
            end,
            latency: end - sent,
            write,
            outcome,
        };
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.push(answered);
    }
}

/// Queue time histogram, summed over all entry processes.
struct QueueMetrics {
    buckets: Map<String, f64>,
    sum: f64,
}

impl QueueMetrics {
    fn read(deployment: &Deployment) -> Result<Self, LabError> {
        let name = |part: &str| format!("goldcrestrail_queue_seconds_{part}");
        let sums = experiment::sum_metric(deployment, &name("sum"), "none")?;
        Ok(Self {
            buckets: experiment::sum_metric(deployment, &name("bucket"), "le")?,
            sum: sums.values().sum(),
        })
    }

    /// Number of requests since `before`, their mean queue time in milliseconds, and the upper
    /// bound of the bucket of the 99th percentile.
    fn since(&self, before: &Self) -> Value {
        let increase = |bound: &String| {
            self.buckets.get(bound).copied().unwrap_or(0.0)
                - before.buckets.get(bound).copied().unwrap_or(0.0)
        };
        let all = increase(&"+Inf".to_owned());
        let mut bounds: Vec<(f64, f64)> = self
            .buckets
            .keys()
            .filter_map(|bound| Some((bound.parse().ok()?, increase(bound))))
            .collect();
        bounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let p99 = bounds.iter().find(|(_, count)| *count >= all * 0.99);
        json!({
            "requests": all,
            "mean_ms": (self.sum - before.sum) / all.max(1.0) * 1_000.0,
            "p99_below_ms": p99.map(|(bound, _)| bound * 1_000.0),
        })
    }
}

/// Goodput in requests per second.
///
/// Reads are counted separately too: only replicas serve them, so in the total, more writes on a
/// primary with free slots could hide a loss of reads.
#[derive(Debug, Clone, Copy)]
struct Goodput {
    all: f64,
    reads: f64,
}

/// Measures one step and returns its results and goodput.
async fn measure_step(
    deployment: &Deployment,
    name: &str,
    duration: Duration,
    answers: &Answers,
    rate_control: &RateControl,
) -> Result<(Value, Goodput), LabError> {
    tokio::time::sleep(WARMUP).await;
    let read = || tokio::task::block_in_place(|| QueueMetrics::read(deployment));
    let before = read()?;
    let skipped = rate_control.skipped.load(Ordering::SeqCst);
    let start = Instant::now();
    tokio::time::sleep(duration).await;
    let end = Instant::now();
    let skipped = rate_control.skipped.load(Ordering::SeqCst) - skipped;
    let queue = read()?.since(&before);
    let in_step: Vec<Completed> = answers
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
    for answer in &in_step {
        let share = shares.entry(answer.caller).or_default();
        share.0 += 1;
        match &answer.outcome {
            Outcome::Done => {
                let on_time = answer.latency <= DEADLINE;
                good += u64::from(on_time);
                good_reads += u64::from(on_time && !answer.write);
                share.1 += 1;
                let kind = if answer.write {
                    &mut writes
                } else {
                    &mut reads
                };
                crate::record_value(kind, micros(answer.latency));
            }
            Outcome::NotRun(code) | Outcome::Unknown(code) | Outcome::Failed(code) => {
                *refusals.entry(code.clone()).or_default() += 1;
                crate::record_value(&mut refused, micros(answer.latency));
            }
        }
    }
    let goodput = float(good) / seconds;
    let entries = deployment.site.entries().len();
    let within: Vec<f64> = (0..entries)
        .map(|entry| {
            let of_entry = shares
                .iter()
                .filter(|(caller, _)| *caller % entries == entry);
            fairness(of_entry.map(|(_, share)| *share))
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
        "sent_per_second": float(in_step.len() as u64) / seconds,
        "skipped_per_second": float(skipped) / seconds,
        "goodput_per_second": goodput,
        "refusals": refusals,
        "reads": quantiles(&reads),
        "writes": quantiles(&writes),
        "refused": quantiles(&refused),
        "queue": queue,
        "fairness": fairness(shares.values().copied()),
        "fairness_within_entries": within,
    });
    let rate = Goodput {
        all: goodput,
        reads: float(good_reads) / seconds,
    };
    Ok((figures, rate))
}

/// Jain's fairness index of the share of requests that succeeded for each caller: 1 when all shares
/// are equal.
fn fairness(shares: impl Iterator<Item = (u64, u64)>) -> f64 {
    let ratios: Vec<f64> = shares
        .map(|(sent, done)| float(done) / float(sent))
        .collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
    sum * sum / (float(ratios.len() as u64) * squares)
}

/// Time from the drop of the load to the last request that failed or was answered late.
fn recovery(answers: &[Completed], load_drop: Instant) -> Duration {
    let not_recovered = answers
        .iter()
        .filter(|answer| answer.end > load_drop)
        .filter(|answer| answer.outcome != Outcome::Done || answer.latency > RECOVERED_LATENCY);
    not_recovered
        .map(|answer| answer.end - load_drop)
        .max()
        .unwrap_or_default()
}

/// Number of callers whose counter is lower than the number of their acknowledged writes, or higher
/// than the number of writes that may have been run.
async fn count_mismatches(deployment: &Deployment, answers: &[Completed]) -> Result<u64, LabError> {
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
    let mismatches = bounds.iter().filter(|(caller, (least, most))| {
        let count = store.counters.get(*caller).copied().unwrap_or(0);
        !(*least..=*most).contains(&count)
    });
    Ok(mismatches.count() as u64)
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
