//! Runs a cluster of nodes in one process on a simulated clock, network and disk. One seed
//! determines the whole run.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    rc::{Rc, Weak},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Wake, Waker},
    time::{Duration, Instant},
};

use agree::{
    DisabledMechanisms, HardState, Node, Options, ProposeError, StateMachine, Tuning,
    environment::{CallError, Disk, Environment, File, Network},
    message::{
        AppendReply, AppendRequest, ProposeReply, SnapshotReply, SnapshotRequest, TransferReply,
        TransferRequest, VoteReply, VoteRequest,
    },
};
use futures_channel::oneshot;
use futures_util::{
    StreamExt as _,
    future::{AbortHandle, Either, LocalBoxFuture, abortable, pending, poll_fn, select},
    stream::FuturesUnordered,
};

pub type SimulatedNode = Node<RecordingMachine, SimulatedEnvironment>;
pub type Files = BTreeMap<File, Vec<u8>>;

/// Number of bytes by which a command is told from all others.
const COMMAND_BYTES: usize = 24;

/// Beginning of a payload, which is unique.
fn command_of(payload: &[u8]) -> Vec<u8> {
    payload[..payload.len().min(COMMAND_BYTES)].to_vec()
}

/// State machine that keeps the beginning of every command and reports a violation when another host applied a
/// different command at the same index.
pub struct RecordingMachine {
    simulation: Weak<Simulation>,
    pub commands: Vec<(u64, Vec<u8>)>,
}

impl RecordingMachine {
    fn record(&self, index: u64, payload: &[u8]) {
        let Some(simulation) = self.simulation.upgrade() else {
            return;
        };
        let mut history = simulation.history.borrow_mut();
        let first = history.entry(index).or_insert_with(|| payload.to_vec());
        if first != payload {
            simulation.report_violation(format!("different commands applied at index {index}"));
        }
    }
}

impl StateMachine for RecordingMachine {
    fn apply(&mut self, index: u64, payload: &[u8]) -> Vec<u8> {
        let command = command_of(payload);
        self.record(index, &command);
        self.commands.push((index, command));
        payload.to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(&self.commands).unwrap()
    }

    fn restore(&mut self, bytes: &[u8]) {
        self.commands = serde_json::from_slice(bytes).unwrap();
        for (index, payload) in &self.commands {
            self.record(*index, payload);
        }
    }
}

/// Point of a write at which a host is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KillPoint {
    /// Before the write starts.
    Write,
    /// Before the sync: any part of the bytes may have reached the disk.
    Sync,
    /// After the sync, before the write is reported as complete.
    Reply,
}

/// Planned kill of a host at the `count`-th write to `file` from now on.
#[derive(Debug, Clone, Copy)]
pub struct Kill {
    pub file: File,
    pub point: KillPoint,
    pub count: u32,
}

/// Simulated host: its disk, its planned faults and its running node.
#[derive(Default)]
struct HostState {
    files: Files,
    /// Write in progress: the file, the bytes, and whether they replace the file.
    writing: Option<(File, Vec<u8>, bool)>,
    kill: Option<Kill>,
    /// Number of crashes. Distinguishes the tasks of a crashed node from those of the current one.
    generation: u64,
    node: Option<Rc<SimulatedNode>>,
    machine: Option<Rc<RefCell<RecordingMachine>>>,
    handlers: Vec<AbortHandle>,
    /// Additional duration of each write.
    delay: Duration,
}

/// Clock, network and disks that all simulated hosts share.
pub struct Simulation {
    start: Instant,
    clock: Cell<Duration>,
    /// Wakers by deadline and timer id.
    timers: RefCell<BTreeMap<(Duration, u64), Waker>>,
    next_timer_id: Cell<u64>,
    rng_state: Cell<u64>,
    spawned: RefCell<Vec<LocalBoxFuture<'static, ()>>>,
    hosts: RefCell<Vec<HostState>>,
    /// Pairs of hosts that cannot reach each other.
    cut_links: RefCell<Vec<(usize, usize)>>,
    /// Hosts whose address wrongly belongs to another host, which receives their messages.
    pub misrouted: RefCell<BTreeMap<usize, usize>>,
    /// Percentage of messages that are lost.
    pub loss: Cell<u64>,
    /// Percentage of calls that are delivered a second time later.
    pub duplicates: Cell<u64>,
    /// Command that was first applied at each index.
    pub history: RefCell<BTreeMap<u64, Vec<u8>>>,
    pub violations: RefCell<Vec<String>>,
    /// Number of snapshot chunks that were sent.
    pub chunks: Cell<u64>,
    /// Bandwidth of each connection in bytes per second.
    pub rate: Cell<u64>,
    /// Additional time that each message takes in one direction.
    pub latency: Cell<Duration>,
}

impl Simulation {
    pub fn report_violation(&self, text: String) {
        self.violations.borrow_mut().push(text);
    }

    pub fn now(&self) -> Instant {
        self.start + self.clock.get()
    }

    pub fn next_random(&self) -> u64 {
        // SplitMix64.
        self.rng_state
            .set(self.rng_state.get().wrapping_add(0x9e37_79b9_7f4a_7c15));
        let mut value = self.rng_state.get();
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// Returns a random number below `limit`.
    pub fn random_below(&self, limit: u64) -> u64 {
        self.next_random() % limit
    }

    fn sleep(self: &Rc<Self>, duration: Duration) -> impl Future<Output = ()> + 'static {
        let simulation = Rc::clone(self);
        let key = (self.clock.get() + duration, self.next_timer_id.get());
        self.next_timer_id.set(key.1 + 1);
        poll_fn(move |context| {
            if simulation.clock.get() >= key.0 {
                return Poll::Ready(());
            }
            simulation
                .timers
                .borrow_mut()
                .insert(key, context.waker().clone());
            Poll::Pending
        })
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        !self
            .cut_links
            .borrow()
            .iter()
            .any(|link| *link == (a, b) || *link == (b, a))
    }

    /// Stops a host at once. A random part of a write in progress reaches its disk.
    pub fn crash(&self, host: usize) {
        let mut hosts = self.hosts.borrow_mut();
        let state = &mut hosts[host];
        state.generation += 1;
        state.kill = None;
        if let Some((file, bytes, replaces)) = state.writing.take() {
            let part = usize::try_from(self.random_below(bytes.len() as u64 + 1)).unwrap();
            let old = state.files.entry(file).or_default();
            if !replaces {
                old.extend(&bytes[..part]);
            } else if part > bytes.len() / 2 {
                *old = bytes;
            }
            if old.is_empty() {
                state.files.remove(&file);
            }
        }
        let handlers = std::mem::take(&mut state.handlers);
        let node = state.node.take();
        drop(hosts);
        for handler in handlers {
            handler.abort();
        }
        if let Some(node) = node {
            node.abort();
        }
    }
}

/// Environment of one simulated host.
pub struct SimulatedEnvironment {
    simulation: Rc<Simulation>,
    host: usize,
    generation: u64,
}

impl SimulatedEnvironment {
    fn alive(&self) -> bool {
        self.simulation.hosts.borrow()[self.host].generation == self.generation
    }

    /// Kills the host if a kill is planned at this point. Never returns on a host that is down.
    async fn kill_if_planned(&self, file: File, point: KillPoint) {
        let kill = {
            let mut hosts = self.simulation.hosts.borrow_mut();
            match &mut hosts[self.host].kill {
                Some(kill) if kill.file == file && kill.point == point => {
                    kill.count -= 1;
                    kill.count == 0
                }
                _ => false,
            }
        };
        if kill {
            self.simulation.crash(self.host);
        }
        if !self.alive() {
            pending::<()>().await;
        }
    }

    /// Appends to a file or replaces it.
    async fn store(&self, file: File, bytes: Vec<u8>, replaces: bool) -> io::Result<()> {
        self.kill_if_planned(file, KillPoint::Write).await;
        let delay = {
            let mut hosts = self.simulation.hosts.borrow_mut();
            let state = &mut hosts[self.host];
            assert!(
                state.writing.is_none(),
                "writes of one host must not overlap"
            );
            state.writing = Some((file, bytes, replaces));
            state.delay
        };
        let pause = Duration::from_micros(200 + self.simulation.random_below(2_000)) + delay;
        self.simulation.sleep(pause).await;
        self.kill_if_planned(file, KillPoint::Sync).await;
        {
            let mut hosts = self.simulation.hosts.borrow_mut();
            let state = &mut hosts[self.host];
            if let Some((file, bytes, replaces)) = state.writing.take() {
                let old = state.files.entry(file).or_default();
                if replaces {
                    old.clear();
                }
                old.extend(bytes);
            }
        }
        self.kill_if_planned(file, KillPoint::Reply).await;
        Ok(())
    }

    /// Calls a handler on another host, and calls it again later if the message is duplicated.
    async fn call<T: 'static>(
        &self,
        to: &str,
        timeout: Duration,
        may_duplicate: bool,
        size: usize,
        handle: impl Fn(Rc<SimulatedNode>) -> LocalBoxFuture<'static, Option<T>> + 'static,
    ) -> Result<T, CallError> {
        let simulation = Rc::clone(&self.simulation);
        let target = host_index(to);
        let target = simulation
            .misrouted
            .borrow()
            .get(&target)
            .copied()
            .unwrap_or(target);
        let (source, handle) = (self.host, Rc::new(handle));
        if may_duplicate && simulation.random_below(100) < simulation.duplicates.get() {
            let (simulation, handle) = (Rc::clone(&simulation), Rc::clone(&handle));
            let delay = Duration::from_micros(simulation.random_below(2_000_000));
            let duplicate = Rc::clone(&simulation);
            simulation.spawned.borrow_mut().push(Box::pin(async move {
                duplicate.sleep(delay).await;
                let _reply = deliver(&duplicate, source, target, &*handle).await;
            }));
        }
        let (sender, receiver) = oneshot::channel();
        let original = Rc::clone(&simulation);
        simulation.spawned.borrow_mut().push(Box::pin(async move {
            let transfer_time = 1_000_000 * size as u64 / original.rate.get();
            original.sleep(Duration::from_micros(transfer_time)).await;
            if let Some(reply) = deliver(&original, source, target, &*handle).await {
                let _timed_out = sender.send(reply);
            } else {
                pending::<()>().await;
            }
        }));
        match select(receiver, Box::pin(simulation.sleep(timeout))).await {
            Either::Left((Ok(reply), _)) => Ok(reply),
            _ => Err(CallError::Unanswered),
        }
    }
}

/// Runs a handler on the target host. Returns nothing when the request or the reply is lost or the
/// host is down.
async fn deliver<T: 'static>(
    simulation: &Rc<Simulation>,
    source: usize,
    target: usize,
    handle: &dyn Fn(Rc<SimulatedNode>) -> LocalBoxFuture<'static, Option<T>>,
) -> Option<T> {
    let lost = |simulation: &Simulation| {
        !simulation.linked(source, target) || simulation.random_below(100) < simulation.loss.get()
    };
    let transit = || {
        let delay = Duration::from_micros(500 + simulation.random_below(3_000));
        simulation.sleep(simulation.latency.get() + delay)
    };
    transit().await;
    if lost(simulation) {
        return None;
    }
    let handler = {
        let mut hosts = simulation.hosts.borrow_mut();
        let node = Rc::clone(hosts[target].node.as_ref()?);
        let (handler, abort) = abortable(handle(node));
        hosts[target].handlers.push(abort);
        handler
    };
    let reply = handler.await.ok()??;
    transit().await;
    (!lost(simulation)).then_some(reply)
}

impl Disk for SimulatedEnvironment {
    fn read(&self, file: File) -> io::Result<Option<Vec<u8>>> {
        Ok(self.simulation.hosts.borrow()[self.host]
            .files
            .get(&file)
            .cloned())
    }

    async fn append(&self, file: File, bytes: Vec<u8>) -> io::Result<()> {
        self.store(file, bytes, false).await
    }

    async fn replace(&self, file: File, bytes: Vec<u8>) -> io::Result<()> {
        self.store(file, bytes, true).await
    }
}

impl Network for SimulatedEnvironment {
    async fn vote(
        &self,
        to: &String,
        request: VoteRequest,
        timeout: Duration,
    ) -> Result<VoteReply, CallError> {
        self.call(to, timeout, true, 0, move |node| {
            let request = request.clone();
            Box::pin(async move { Some(node.on_vote(request).await) })
        })
        .await
    }

    async fn append(
        &self,
        to: &String,
        request: AppendRequest,
        timeout: Duration,
    ) -> Result<AppendReply, CallError> {
        let size = request
            .entries
            .iter()
            .map(|entry| entry.payload.len())
            .sum();
        self.call(to, timeout, true, size, move |node| {
            let request = request.clone();
            Box::pin(async move { Some(node.on_append(request).await) })
        })
        .await
    }

    async fn snapshot(
        &self,
        to: &String,
        request: SnapshotRequest,
        timeout: Duration,
    ) -> Result<SnapshotReply, CallError> {
        self.simulation.chunks.set(self.simulation.chunks.get() + 1);
        self.call(to, timeout, true, request.chunk.len(), move |node| {
            let request = request.clone();
            Box::pin(async move { Some(node.on_snapshot(request).await) })
        })
        .await
    }

    async fn propose(
        &self,
        to: &String,
        payload: Vec<u8>,
        timeout: Duration,
    ) -> Result<ProposeReply, CallError> {
        // A connection never delivers a call twice. Only proposals rely on that, so only they are
        // never duplicated here.
        self.call(to, timeout, false, payload.len(), move |node| {
            let payload = payload.clone();
            Box::pin(async move { node.on_propose(payload).await })
        })
        .await
    }

    async fn transfer(
        &self,
        to: &String,
        request: TransferRequest,
        timeout: Duration,
    ) -> Result<TransferReply, CallError> {
        self.call(to, timeout, true, 0, move |node| {
            let request = request.clone();
            Box::pin(async move { Some(node.on_transfer(request).await) })
        })
        .await
    }
}

impl Environment for SimulatedEnvironment {
    type Disk = Self;
    type Network = Self;

    fn now(&self) -> Instant {
        self.simulation.now()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> {
        self.simulation.sleep(duration)
    }

    fn spawn(&self, task: LocalBoxFuture<'static, ()>) {
        self.simulation.spawned.borrow_mut().push(task);
    }

    fn random(&self) -> u64 {
        self.simulation.next_random()
    }

    fn disk(&self) -> &Self {
        self
    }

    fn network(&self) -> &Self {
        self
    }
}

fn host_name(host: usize) -> String {
    format!("control-{host}")
}

fn host_index(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

/// Records whether a task was woken since the last poll.
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Simulated cluster that checks the safety properties while it runs.
pub struct Cluster {
    pub simulation: Rc<Simulation>,
    pub tuning: Tuning,
    pub size: usize,
    /// Whether it is a violation that two hosts consider themselves the leader at the same time.
    /// Without it, only two leaders of the same term are a violation.
    pub forbid_two_leaders: bool,
    tasks: FuturesUnordered<LocalBoxFuture<'static, ()>>,
    wake_flag: Arc<WakeFlag>,
    /// First leader of each term.
    leaders: BTreeMap<u64, usize>,
    /// Acknowledged commands by index.
    pub acked: Rc<RefCell<BTreeMap<u64, Vec<u8>>>>,
    /// Commands that were reported as certainly not applied.
    pub not_applied: Rc<RefCell<Vec<Vec<u8>>>>,
    /// Number of commands that were submitted.
    submitted: u64,
    /// Size to which payloads are filled up with random text.
    pub payload_bytes: usize,
}

impl Cluster {
    /// Formats and starts `size` hosts.
    pub fn new(seed: u64, size: usize, disabled: DisabledMechanisms) -> Self {
        println!("seed {seed}");
        let simulation = Rc::new(Simulation {
            start: Instant::now(),
            clock: Cell::default(),
            timers: RefCell::default(),
            next_timer_id: Cell::default(),
            rng_state: Cell::new(seed),
            spawned: RefCell::default(),
            hosts: RefCell::default(),
            cut_links: RefCell::default(),
            misrouted: RefCell::default(),
            loss: Cell::default(),
            duplicates: Cell::default(),
            history: RefCell::default(),
            violations: RefCell::default(),
            chunks: Cell::default(),
            rate: Cell::new(u64::MAX),
            latency: Cell::default(),
        });
        let tuning = Tuning {
            disabled,
            ..Tuning::default()
        };
        let mut cluster = Self {
            simulation,
            tuning,
            size,
            tasks: FuturesUnordered::new(),
            wake_flag: Arc::new(WakeFlag(AtomicBool::new(false))),
            forbid_two_leaders: false,
            leaders: BTreeMap::new(),
            acked: Rc::default(),
            not_applied: Rc::default(),
            submitted: 0,
            payload_bytes: 0,
        };
        for host in 0..size {
            let files = Files::from([(File::State, HardState::new(host_name(host), 0).encode())]);
            cluster.simulation.hosts.borrow_mut().push(HostState {
                files,
                ..HostState::default()
            });
        }
        for host in 0..size {
            cluster.start(host);
        }
        cluster
    }

    fn options(&self, host: usize) -> Options {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        Options {
            name: host_name(host),
            peers: (0..self.size)
                .map(|peer| (host_name(peer), address))
                .collect(),
            source_ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
            data_dir: PathBuf::from("simulated"),
            logger: base::log::silent(),
        }
    }

    /// Starts a host. A running host is crashed first.
    pub fn start(&mut self, host: usize) {
        self.try_start(host).unwrap();
    }

    pub fn try_start(&mut self, host: usize) -> Result<(), agree::StartError> {
        self.crash(host);
        let machine = Rc::new(RefCell::new(RecordingMachine {
            simulation: Rc::downgrade(&self.simulation),
            commands: Vec::new(),
        }));
        let environment = SimulatedEnvironment {
            simulation: Rc::clone(&self.simulation),
            host,
            generation: self.simulation.hosts.borrow()[host].generation,
        };
        let options = self.options(host);
        let node = Node::start_with(
            options,
            self.tuning.clone(),
            environment,
            Rc::clone(&machine),
        )?;
        let mut hosts = self.simulation.hosts.borrow_mut();
        hosts[host].node = Some(node);
        hosts[host].machine = Some(machine);
        Ok(())
    }

    pub fn crash(&self, host: usize) {
        self.simulation.crash(host);
    }

    pub fn kill_at(&self, host: usize, kill: Kill) {
        self.simulation.hosts.borrow_mut()[host].kill = Some(kill);
    }

    pub fn cancel_kill(&self, host: usize) {
        self.simulation.hosts.borrow_mut()[host].kill = None;
    }

    pub fn slow_disk(&self, host: usize, delay: Duration) {
        self.simulation.hosts.borrow_mut()[host].delay = delay;
    }

    pub fn files(&self, host: usize) -> Files {
        self.simulation.hosts.borrow()[host].files.clone()
    }

    pub fn replace_files(&self, host: usize, files: Files) {
        self.simulation.hosts.borrow_mut()[host].files = files;
    }

    pub fn alive(&self, host: usize) -> bool {
        self.simulation.hosts.borrow()[host].node.is_some()
    }

    pub fn node(&self, host: usize) -> Rc<SimulatedNode> {
        Rc::clone(
            self.simulation.hosts.borrow()[host]
                .node
                .as_ref()
                .expect("host is up"),
        )
    }

    pub fn commands(&self, host: usize) -> Vec<(u64, Vec<u8>)> {
        let hosts = self.simulation.hosts.borrow();
        hosts[host]
            .machine
            .as_ref()
            .unwrap()
            .borrow()
            .commands
            .clone()
    }

    pub fn disconnect(&self, a: usize, b: usize) {
        self.simulation.cut_links.borrow_mut().push((a, b));
    }

    /// Cuts a host off from all other hosts.
    pub fn isolate(&self, host: usize) {
        for other in (0..self.size).filter(|other| *other != host) {
            self.disconnect(host, other);
        }
    }

    /// Returns whether all hosts can reach each other.
    pub fn is_fully_connected(&self) -> bool {
        self.simulation.cut_links.borrow().is_empty()
    }

    /// Restores all connections.
    pub fn heal(&self) {
        self.simulation.cut_links.borrow_mut().clear();
    }

    /// Polls all ready tasks, then advances the clock to the next timer. Returns false when that
    /// timer is after `end`.
    fn step(&mut self, end: Duration) -> bool {
        loop {
            self.wake_flag.0.store(false, Ordering::Relaxed);
            let new_tasks = std::mem::take(&mut *self.simulation.spawned.borrow_mut());
            self.tasks.extend(new_tasks);
            let waker = Waker::from(Arc::clone(&self.wake_flag));
            let mut context = Context::from_waker(&waker);
            while let Poll::Ready(Some(())) = self.tasks.poll_next_unpin(&mut context) {}
            let idle = self.simulation.spawned.borrow().is_empty();
            if idle && !self.wake_flag.0.load(Ordering::Relaxed) {
                break;
            }
        }
        self.check_invariants();
        let next = self.simulation.timers.borrow_mut().pop_first();
        match next {
            Some(((at, _), waker)) if at <= end => {
                self.simulation
                    .clock
                    .set(self.simulation.clock.get().max(at));
                waker.wake();
                true
            }
            other => {
                if let Some((key, waker)) = other {
                    self.simulation.timers.borrow_mut().insert(key, waker);
                }
                self.simulation
                    .clock
                    .set(end.max(self.simulation.clock.get()));
                false
            }
        }
    }

    /// Checks the invariants that hold at any time: no host failed, and a term has one leader.
    fn check_invariants(&mut self) {
        let now = self.simulation.now();
        let mut leader_count = 0;
        for host in 0..self.size {
            if !self.alive(host) {
                continue;
            }
            let node = self.node(host);
            if let Some(cause) = node.failure() {
                self.simulation
                    .report_violation(format!("host {host} failed: {cause}"));
                self.crash(host);
            } else if node.is_leader(now) {
                leader_count += 1;
                let first = *self.leaders.entry(node.term()).or_insert(host);
                if first != host {
                    self.simulation
                        .report_violation(format!("two leaders in term {}", node.term()));
                }
            }
        }
        if self.forbid_two_leaders && leader_count > 1 {
            self.simulation
                .report_violation("two hosts consider themselves the leader".into());
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.simulation.clock.get() + duration;
        while self.step(end) {}
    }

    /// Runs until a condition holds. Returns false when it does not hold within `limit`.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.simulation.clock.get() + limit;
        while !holds(self) {
            if !self.step(end) {
                return holds(self);
            }
        }
        true
    }

    /// Returns the running leader with the highest term.
    pub fn find_leader(&self) -> Option<usize> {
        let now = self.simulation.now();
        (0..self.size)
            .filter(|host| self.alive(*host) && self.node(*host).is_leader(now))
            .max_by_key(|host| self.node(*host).term())
    }

    fn dumps(&self) -> Vec<serde_json::Value> {
        let up = (0..self.size).filter(|host| self.alive(*host));
        up.map(|host| self.node(host).dump()).collect()
    }

    /// Runs until there is a leader and returns it.
    pub fn leader(&mut self) -> usize {
        let found = self.run_until(Duration::from_secs(20), |cluster| {
            cluster.find_leader().is_some()
        });
        assert!(found, "no leader within 20 s: {:#?}", self.dumps());
        self.find_leader().unwrap()
    }

    /// Runs until a future completes. Returns nothing when it does not complete within `limit`.
    pub fn block_on<T: 'static>(
        &mut self,
        limit: Duration,
        future: impl Future<Output = T> + 'static,
    ) -> Option<T> {
        let output = Rc::new(RefCell::new(None));
        let result = Rc::clone(&output);
        self.simulation
            .spawned
            .borrow_mut()
            .push(Box::pin(async move {
                *result.borrow_mut() = Some(future.await);
            }));
        self.run_until(limit, |_| output.borrow().is_some());
        output.take()
    }

    /// A unique payload of [`Self::payload_bytes`], or a few bytes.
    fn next_payload(&mut self) -> Vec<u8> {
        self.submitted += 1;
        let mut payload = format!("command {}", self.submitted).into_bytes();
        if self.payload_bytes > 0 {
            payload.resize(COMMAND_BYTES, b' ');
        }
        while payload.len() < self.payload_bytes {
            payload.extend(self.simulation.next_random().to_le_bytes());
        }
        payload
    }

    /// Starts a proposal with a unique payload, and records the outcome. Returns the command.
    pub fn submit(&mut self, host: usize, forward: bool) -> Vec<u8> {
        let payload = self.next_payload();
        let command = command_of(&payload);
        let (acked, not_applied) = (Rc::clone(&self.acked), Rc::clone(&self.not_applied));
        let (node, sent, name) = (self.node(host), payload, command.clone());
        self.simulation
            .spawned
            .borrow_mut()
            .push(Box::pin(async move {
                let outcome = if forward {
                    node.propose_or_forward(sent.clone()).await
                } else {
                    node.propose(sent.clone()).await
                };
                match outcome {
                    Ok((index, answer)) => {
                        assert_eq!(answer, sent, "the answer must belong to the command");
                        acked.borrow_mut().insert(index, name);
                    }
                    Err(ProposeError::Unknown) => {}
                    Err(ProposeError::Dropped | ProposeError::NotLeader(_)) => {
                        not_applied.borrow_mut().push(name);
                    }
                }
            }));
        command
    }

    /// Starts a linearizable read and checks that its read index covers every command that was
    /// acknowledged before.
    pub fn submit_read(&mut self, host: usize) {
        let before = self
            .acked
            .borrow()
            .last_key_value()
            .map_or(0, |(index, _)| *index);
        let (node, simulation) = (self.node(host), Rc::clone(&self.simulation));
        self.simulation
            .spawned
            .borrow_mut()
            .push(Box::pin(async move {
                if let Ok(read_index) = node.read_index().await
                    && read_index < before
                {
                    simulation.report_violation(format!(
                        "stale read at {read_index} after {before} was acknowledged"
                    ));
                }
            }));
    }

    /// Starts a leadership transfer away from a host, as a planned stop does.
    pub fn submit_transfer(&self, host: usize) {
        let node = self.node(host);
        self.simulation
            .spawned
            .borrow_mut()
            .push(Box::pin(async move {
                let _transferred = node.transfer_leadership().await;
            }));
    }

    /// Proposes one command on the leader and waits for the acknowledgement.
    pub fn write(&mut self) -> u64 {
        for _attempt in 0..20 {
            let leader = self.leader();
            let payload = self.submit(leader, false);
            let acked = Rc::clone(&self.acked);
            let find = move |_: &Self| acked.borrow().values().any(|known| *known == payload);
            if self.run_until(Duration::from_secs(4), find) {
                return *self.acked.borrow().last_key_value().unwrap().0;
            }
        }
        panic!("no write was acknowledged in 20 attempts");
    }

    /// Runs until all running hosts are voters that applied every acknowledged command.
    pub fn converge(&mut self) {
        let last = self
            .acked
            .borrow()
            .last_key_value()
            .map_or(0, |(index, _)| *index);
        let done = self.run_until(Duration::from_mins(1), |cluster| {
            cluster.find_leader().is_some()
                && (0..cluster.size)
                    .filter(|host| cluster.alive(*host))
                    .all(|host| {
                        let node = cluster.node(host);
                        !node.is_learner() && node.applied_index() >= last
                    })
        });
        if !done {
            self.simulation.report_violation(format!(
                "hosts did not converge within 1 min: {:#?}",
                self.dumps()
            ));
        }
    }

    /// Compares all state machines with the acknowledged commands and returns all violations.
    pub fn check(&self) -> Vec<String> {
        let mut violations = self.simulation.violations.borrow().clone();
        let history = self.simulation.history.borrow();
        for (index, payload) in &*self.acked.borrow() {
            if history.get(index) != Some(payload) {
                violations.push(format!("acknowledged command at {index} was replaced"));
            }
        }
        for payload in &*self.not_applied.borrow() {
            if history.values().any(|known| known == payload) {
                violations.push("a command that was reported as not applied was applied".into());
            }
        }
        for host in (0..self.size).filter(|host| self.alive(*host)) {
            let commands = self.commands(host);
            let applied = self.node(host).applied_index();
            for (index, payload) in self.acked.borrow().range(..=applied) {
                if !commands
                    .iter()
                    .any(|(at, known)| at == index && known == payload)
                {
                    violations.push(format!(
                        "host {host} lost the command acknowledged at {index}"
                    ));
                }
            }
            if !commands.is_sorted_by_key(|(index, _)| *index) {
                violations.push(format!("host {host} applied commands out of order"));
            }
        }
        violations
    }

    pub fn assert_no_violations(&self) {
        let violations = self.check();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}
