//! Entry processes and leaders with a lossy channel between them.

use std::time::{Duration, Instant};

use base::{organisation::RateLimit, rates::Rates};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use rate::{
    Admission, Answer, Call, DEPOSED_WITHIN, Holder, HolderId, Ledger, OrgId, Share, capacity,
    lendable,
};

/// Resolution of the time of these tests.
pub const STEP: Duration = Duration::from_millis(20);
/// Longest wait of an operation for an answer.
const PATIENCE: Duration = Duration::from_millis(300);
/// Shortest time between two calls of a process.
const CALL_GAP: Duration = Duration::from_millis(60);
/// Time after which a process gives up a call without an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a message is under way.
const LONGEST_DELAY: Duration = Duration::from_secs(8);
pub const ORG: OrgId = 7;

#[derive(Default)]
pub struct Process {
    holder: Holder,
    frozen_until: Option<Instant>,
    pub cut_off: bool,
    run: u64,
    called: Option<Instant>,
    /// Whether a call is under way.
    calling: bool,
    /// Operations that wait, by the time they were asked.
    waiting: Vec<Instant>,
}

struct Leader {
    ledger: Ledger,
    until: Option<Instant>,
}

enum Message {
    Call(u64, Call),
    Answer(Answer),
}

/// A limit with the processes that enforce it.
pub struct World {
    pub now: Instant,
    start: Instant,
    pub random: StdRng,
    pub processes: Vec<Process>,
    leaders: Vec<Leader>,
    term: u64,
    limits: Vec<(Instant, RateLimit)>,
    /// Messages under way: arrival, process, content.
    under_way: Vec<(Instant, usize, Message)>,
    pub loss: f64,
    pub delay: Duration,
    /// Operations sent to databases.
    pub sent: Vec<Instant>,
    pub refused: Vec<Instant>,
    pub calls: usize,
}

impl World {
    pub fn new(seed: u64, processes: usize, limit: RateLimit) -> Self {
        let now = Instant::now();
        let mut ledger = Ledger::new(1, None::<[_; 0]>, now);
        ledger.configure([(ORG, capacity(limit, &Rates::default()))], now);
        Self {
            now,
            start: now,
            random: StdRng::seed_from_u64(seed),
            processes: std::iter::repeat_with(Process::default)
                .take(processes)
                .collect(),
            leaders: vec![Leader {
                ledger,
                until: None,
            }],
            term: 1,
            limits: vec![(now, limit)],
            under_way: Vec::new(),
            loss: 0.0,
            delay: Duration::from_millis(30),
            sent: Vec::new(),
            refused: Vec::new(),
            calls: 0,
        }
    }

    pub fn limit(&self) -> RateLimit {
        self.limits.last().expect("there is a limit").1
    }

    /// Another host leads; the former leader notices within `DEPOSED_WITHIN`.
    pub fn change_leader(&mut self) {
        self.lose_leader();
        self.term += 1;
        let limits = Some([(ORG, capacity(self.limit(), &Rates::default()))]);
        let ledger = Ledger::new(self.term, limits, self.now);
        self.leaders.push(Leader {
            ledger,
            until: None,
        });
    }

    pub fn lose_leader(&mut self) {
        for leader in &mut self.leaders {
            leader.until.get_or_insert(self.now + DEPOSED_WITHIN);
        }
    }

    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limits.push((self.now, limit));
        let share = capacity(limit, &Rates::default());
        for leader in &mut self.leaders {
            leader.ledger.configure([(ORG, share)], self.now);
        }
    }

    pub fn freeze(&mut self, process: usize, span: Duration) {
        self.processes[process].frozen_until = Some(self.now + span);
    }

    /// The process ends and starts anew, without its shares.
    pub fn restart(&mut self, process: usize) {
        self.processes[process] = Process {
            run: self.processes[process].run + 1,
            ..Process::default()
        };
        self.under_way.retain(|(_, to, _)| *to != process);
    }

    /// Callers of a process ask for an operation.
    pub fn ask(&mut self, process: usize) {
        let now = self.now;
        let asked = &mut self.processes[process];
        if asked.frozen_until.is_some() {
            return;
        }
        match asked.holder.admit(ORG, now) {
            Admission::Reserved => self.send(process),
            Admission::Refused => self.refused.push(now),
            Admission::Wait => asked.waiting.push(now),
        }
    }

    fn send(&mut self, process: usize) {
        let holder = &mut self.processes[process].holder;
        holder.release(ORG);
        if holder.take(ORG, self.now) {
            self.sent.push(self.now);
        } else {
            self.refused.push(self.now);
        }
    }

    /// Advances by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.leaders
            .retain(|leader| leader.until.is_none_or(|until| now < until));
        for process in &mut self.processes {
            process.frozen_until = process.frozen_until.filter(|until| now < *until);
        }
        // A process that thaws gets the answers that came meanwhile before it does anything else.
        let (due, later) =
            std::mem::take(&mut self.under_way)
                .into_iter()
                .partition(|(at, to, message)| {
                    let held_up = matches!(message, Message::Answer(_))
                        && self.processes[*to].frozen_until.is_some();
                    *at <= now && !held_up
                });
        self.under_way = later;
        for (_, process, message) in due {
            self.deliver(process, message);
        }
        for process in 0..self.processes.len() {
            self.run_process(process);
        }
    }

    fn deliver(&mut self, process: usize, message: Message) {
        match message {
            Message::Call(term, call) => {
                let id: HolderId = (format!("entry-{process}"), self.processes[process].run);
                let mut leaders = self.leaders.iter_mut();
                let leader = leaders.find(|leader| leader.ledger.term() == term);
                let answer = leader.and_then(|leader| leader.ledger.lend(&id, &call, self.now));
                if let Some(answer) = answer {
                    self.pass(process, Message::Answer(answer));
                }
            }
            Message::Answer(answer) => {
                self.processes[process].holder.apply(&answer, self.now);
                self.processes[process].calling = false;
                for asked in std::mem::take(&mut self.processes[process].waiting) {
                    match self.processes[process].holder.retry(ORG, self.now) {
                        Admission::Reserved => self.send(process),
                        Admission::Refused => self.refused.push(self.now),
                        Admission::Wait => self.processes[process].waiting.push(asked),
                    }
                }
            }
        }
    }

    fn pass(&mut self, process: usize, message: Message) {
        if self.processes[process].cut_off || self.random.random_bool(self.loss) {
            return;
        }
        let held_up = self.random.random_bool(self.loss / 10.0);
        let longest = if held_up {
            LONGEST_DELAY
        } else {
            self.delay * 2
        };
        let delay = longest.mul_f64(self.random.random_range(0.05..1.0));
        self.under_way.push((self.now + delay, process, message));
    }

    fn run_process(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        if process.frozen_until.is_some() {
            return;
        }
        let before = process.waiting.len();
        process
            .waiting
            .retain(|asked| now.saturating_duration_since(*asked) < PATIENCE);
        let given_up = before - process.waiting.len();
        self.refused.extend(std::iter::repeat_n(now, given_up));
        let process = &mut self.processes[index];
        let gap = if process.calling {
            CALL_TIMEOUT
        } else {
            CALL_GAP
        };
        let spaced = process.called.is_none_or(|at| at + gap <= now);
        let due = process.holder.due(now).is_some_and(|due| due <= now);
        if spaced && (due || process.holder.is_urgent()) {
            process.called = Some(now);
            process.calling = true;
            let call = process.holder.next_call(now);
            self.calls += 1;
            let leaders: Vec<_> = self.leaders.iter().map(|l| l.ledger.term()).collect();
            if !leaders.is_empty() {
                let term = leaders[self.random.random_range(0..leaders.len())];
                self.pass(index, Message::Call(term, call));
            }
        }
    }

    /// The operations in the worst window, and the bound on them. A lowered limit counts after the
    /// shares of the former one have ended.
    pub fn worst_window(&self) -> (f64, f64) {
        let rates = Rates::default();
        let window = Duration::from_secs_f64(rates.window_s);
        let mut worst = (0.0, 1.0);
        for (first, start) in self.sent.iter().enumerate() {
            let end = self.sent.partition_point(|at| *at < *start + window);
            let count = u32::try_from(end - first).map_or(f64::INFINITY, f64::from);
            let bound = self.bound(*start, *start + window, &rates);
            if count / bound > worst.0 / worst.1 {
                worst = (count, bound);
            }
        }
        worst
    }

    /// Sum of the shares in force, and the bound on it. A lowered limit counts after a window and a
    /// term.
    pub fn lent(&self) -> (Share, Share) {
        let processes = self.processes.iter();
        let shares = processes.flat_map(|process| process.holder.shares(self.now));
        let sum = shares.fold(Share::default(), |sum, (_, share, _)| Share {
            rate: sum.rate + share.rate,
            depth: sum.depth + share.depth,
        });
        let rates = Rates::default();
        let window = Duration::from_secs_f64(rates.window_s);
        let since = self.now.checked_sub(window).unwrap_or(self.start);
        let limits = self.limits_since(since, self.now);
        let bounds = limits.map(|limit| lendable(capacity(limit, &rates)));
        (sum, bounds.fold(Share::default(), Share::max))
    }

    /// Limits in force between a term before `start` and `end`.
    fn limits_since(&self, start: Instant, end: Instant) -> impl Iterator<Item = RateLimit> {
        let since = start.checked_sub(rate::TAKEOVER).unwrap_or(self.start);
        let ends = self.limits.iter().skip(1).map(|(at, _)| Some(*at));
        let spans = self.limits.iter().zip(ends.chain([None]));
        let in_force =
            spans.filter(move |((from, _), to)| *from <= end && to.is_none_or(|to| to > since));
        in_force.map(|((_, limit), _)| *limit)
    }

    fn bound(&self, start: Instant, end: Instant, rates: &Rates) -> f64 {
        let window = Duration::from_secs_f64(rates.window_s);
        // A change may raise the rate and lower the burst.
        let limits = self.limits_since(start, end).reduce(|a, b| RateLimit {
            per_second: a.per_second.max(b.per_second),
            burst: a.burst.max(b.burst),
        });
        let allowed = limits.map_or(0.0, |limit| limit.allowed_in(window));
        allowed * (1.0 + rates.overage) + f64::from(rates.slack)
    }

    /// Part of the operations asked for since `from` that were refused.
    pub fn refused_part(&self, from: Instant) -> f64 {
        let after = |times: &[Instant]| times.iter().filter(|at| **at >= from).count();
        let refused = after(&self.refused);
        let all = refused + after(&self.sent);
        let float = |count: usize| u32::try_from(count).map_or(f64::INFINITY, f64::from);
        float(refused) / float(all.max(1))
    }
}
