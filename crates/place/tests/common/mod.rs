//! Databases with slots and a queue each, and processes that send reads to them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use base::Map;
use place::{Candidate, Placement, Prices};
use route::{Location, Proximity, load::MemberLoad};

/// Number of steps of the clock in a second.
pub const SECOND: u64 = 1_000;
const SLOTS: u32 = 5;
/// Mean duration of a read at a database, in steps.
const WORK: Duration = Duration::from_millis(20);
const PROCESSES_PER_ZONE: u32 = 6;

/// Rule by which processes choose a database.
#[derive(Debug, Clone, Copy)]
pub enum Rule {
    /// The least expected response time.
    LeastExpected,
    /// Shares, with these prices.
    Shares(Prices),
}

/// Locations of zones, and the zones that have a database.
#[derive(Debug)]
pub struct Site {
    zones: Vec<Location>,
    databases: usize,
}

/// A site with two regions whose zones alternate; the first zones have a database each.
pub fn site(zones: usize, databases: usize) -> Site {
    let location = |zone: usize| Location {
        zone: format!("zone-{zone}"),
        region: format!("region-{}", zone % 2),
    };
    Site {
        zones: (0..zones).map(location).collect(),
        databases,
    }
}

#[derive(Debug, Clone, Copy)]
struct Read {
    process: usize,
    database: usize,
    sent: u64,
    work: Duration,
}

#[derive(Debug, Clone, Default)]
struct Database {
    running: u32,
    queue: VecDeque<Read>,
    factor: f64,
}

#[derive(Debug, Default)]
struct Process {
    loads: Vec<MemberLoad>,
    placement: Placement,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrives(Read),
    Ends(Read),
    Answered(Read),
}

/// Reads by zone of the caller: response time in ms, and distance of the database.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    reads: Map<usize, Vec<(u64, Proximity)>>,
}

impl Outcome {
    /// Part of all reads answered within `objective`.
    pub fn in_time(&self, objective: Duration) -> f64 {
        part(self.reads.values().flatten(), |(took, _)| {
            Duration::from_millis(*took) <= objective
        })
    }

    /// Part of the reads of a zone answered within `objective`.
    pub fn zone_in_time(&self, zone: usize, objective: Duration) -> f64 {
        part(self.reads[&zone].iter(), |(took, _)| {
            Duration::from_millis(*took) <= objective
        })
    }

    /// Part of all reads that left the zone.
    pub fn outside_zone(&self) -> f64 {
        part(self.reads.values().flatten(), |(_, at)| {
            *at != Proximity::SameZone
        })
    }

    /// Part of the reads of a zone that left it.
    pub fn zone_outside(&self, zone: usize) -> f64 {
        part(self.reads[&zone].iter(), |(_, at)| {
            *at != Proximity::SameZone
        })
    }
}

fn part<'a>(
    reads: impl Iterator<Item = &'a (u64, Proximity)>,
    counts: impl Fn(&(u64, Proximity)) -> bool,
) -> f64 {
    let (mut all, mut counted) = (0_u32, 0_u32);
    for read in reads {
        all += 1;
        counted += u32::from(counts(read));
    }
    f64::from(counted) / f64::from(all.max(1))
}

/// Processes and databases of a site, with their own clock.
#[derive(Debug)]
pub struct Fleet {
    site: Site,
    rule: Rule,
    databases: Vec<Database>,
    processes: Vec<Process>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    now: u64,
    start: Instant,
    random: u64,
    outcome: Outcome,
}

impl Fleet {
    /// A fleet without any load yet.
    pub fn new(site: Site, rule: Rule) -> Self {
        let idle = Database {
            factor: 1.0,
            ..Database::default()
        };
        let databases = vec![idle; site.databases];
        let process = |_| Process {
            loads: vec![MemberLoad::default(); site.databases],
            placement: Placement::default(),
        };
        let processes = (0..site.zones.len() * PROCESSES_PER_ZONE as usize)
            .map(process)
            .collect();
        Self {
            site,
            rule,
            databases,
            processes,
            events: BTreeMap::new(),
            sequence: 0,
            now: 0,
            start: Instant::now(),
            random: 0x9e37_79b9_7f4a_7c15,
            outcome: Outcome::default(),
        }
    }

    /// Sets the factor by which the work of a database takes longer.
    pub fn slow(&mut self, database: usize, factor: f64) {
        self.databases[database].factor = factor;
    }

    /// What callers got since the start or since [`Self::forget`].
    pub fn outcome(&self) -> Outcome {
        self.outcome.clone()
    }

    /// Discards the outcome so far.
    pub fn forget(&mut self) {
        self.outcome = Outcome::default();
    }

    /// Plays `steps` with `demand` reads a second from each zone.
    pub fn play(&mut self, steps: u64, demand: impl Fn(usize) -> f64) {
        for _ in 0..steps {
            self.now += 1;
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
                let event = entry.remove();
                self.handle(event);
            }
            for process in 0..self.processes.len() {
                let per_second = demand(zone_of(process));
                if self.draw() < per_second / 1_000.0 / f64::from(PROCESSES_PER_ZONE) {
                    self.send(process);
                }
            }
        }
    }

    /// Plays `steps`, and returns the largest change of a database's mean share over a span of `span`.
    pub fn largest_move(&mut self, steps: u64, span: u64, demand: impl Fn(usize) -> f64) -> f64 {
        let mut largest = 0.0_f64;
        for _ in 0..steps / span {
            let before = self.mean_shares();
            self.play(span, &demand);
            let after = self.mean_shares();
            let moves = before.iter().zip(&after).map(|(a, b)| (a - b).abs());
            largest = moves.fold(largest, f64::max);
        }
        largest
    }

    fn mean_shares(&self) -> Vec<f64> {
        let count = f64::from(PROCESSES_PER_ZONE * u32::try_from(self.site.zones.len()).unwrap());
        let mean = |database: usize| {
            let name = name(database);
            let shares = self.processes.iter().map(|p| p.placement.share(&name));
            shares.sum::<f64>() / count
        };
        (0..self.databases.len()).map(mean).collect()
    }

    /// A number of at least 0 and below 1 (xorshift).
    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        f64::from(u32::try_from(self.random >> 32).unwrap()) / f64::from(u32::MAX) * 0.999_999
    }

    fn proximity(&self, process: usize, database: usize) -> Proximity {
        let zones = &self.site.zones;
        zones[zone_of(process)].proximity(&zones[database])
    }

    fn delay(&self, read: Read) -> u64 {
        match self.proximity(read.process, read.database) {
            Proximity::SameZone => 0,
            Proximity::SameRegion => 1,
            Proximity::OtherRegion => 30,
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn send(&mut self, process: usize) {
        let now = self.start + Duration::from_millis(self.now);
        let (draw, work) = (self.draw(), WORK.mul_f64(0.5 + self.draw()));
        let names: Vec<_> = (0..self.databases.len()).map(name).collect();
        let candidate = |database: usize| {
            let proximity = self.proximity(process, database);
            let load = &self.processes[process].loads[database];
            Candidate {
                name: &names[database],
                proximity,
                expected: load.expected_response_time(proximity, SLOTS, now),
                measured: load.is_recent(now),
                lags: false,
            }
        };
        let candidates: Vec<_> = (0..names.len()).map(candidate).collect();
        let database = match self.rule {
            Rule::LeastExpected => (0..names.len()).min_by_key(|i| candidates[*i].expected),
            Rule::Shares(prices) => self.processes[process]
                .placement
                .choose(&candidates, &prices, now, draw)
                .map(|choice| choice.index),
        }
        .expect("there are databases");
        self.processes[process].loads[database].begin();
        let read = Read {
            process,
            database,
            sent: self.now,
            work: work.mul_f64(self.databases[database].factor),
        };
        self.schedule(self.delay(read), Event::Arrives(read));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives(read) => self.databases[read.database].queue.push_back(read),
            Event::Ends(read) => {
                self.databases[read.database].running -= 1;
                self.schedule(self.delay(read), Event::Answered(read));
            }
            Event::Answered(read) => return self.answer(read),
        }
        let (Event::Arrives(read) | Event::Ends(read) | Event::Answered(read)) = event;
        let database = &mut self.databases[read.database];
        if database.running < SLOTS
            && let Some(next) = database.queue.pop_front()
        {
            database.running += 1;
            let took = u64::try_from(next.work.as_millis()).unwrap();
            self.schedule(took, Event::Ends(next));
        }
    }

    fn answer(&mut self, read: Read) {
        let took = self.now - read.sent;
        let now = self.start + Duration::from_millis(self.now);
        self.processes[read.process].loads[read.database]
            .end(Some(Duration::from_millis(took)), now);
        let proximity = self.proximity(read.process, read.database);
        let zone = zone_of(read.process);
        self.outcome
            .reads
            .entry(zone)
            .or_default()
            .push((took, proximity));
    }
}

fn name(database: usize) -> String {
    format!("database-{database}")
}

fn zone_of(process: usize) -> usize {
    process / PROCESSES_PER_ZONE as usize
}
