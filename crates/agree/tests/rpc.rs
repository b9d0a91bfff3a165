//! Runs three nodes with real connections and real files.

use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    path::Path,
    rc::Rc,
    time::{Duration, Instant},
};

use agree::{
    Node, Options, StateMachine,
    message::{AppendRequest, SnapshotRequest, TransferRequest, VoteRequest},
};
use capnp::capability::Rc as CapnpRc;
use compio::{net::TcpListener, runtime::Task};
use proto::schema::{gate, peer};
use rstest::rstest;

/// State machine that keeps every command.
#[derive(Default)]
struct RecordingMachine(Vec<Vec<u8>>);

impl StateMachine for RecordingMachine {
    fn apply(&mut self, index: u64, payload: &[u8]) -> Vec<u8> {
        self.0.push(payload.to_vec());
        index.to_string().into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(&self.0).unwrap()
    }

    fn restore(&mut self, bytes: &[u8]) {
        self.0 = serde_json::from_slice(bytes).unwrap();
    }
}

/// Serves the calls of other control hosts.
struct PeerServer(Rc<Node<RecordingMachine>>);

impl peer::Server for PeerServer {
    async fn vote(
        self: CapnpRc<Self>,
        params: peer::VoteParams,
        mut results: peer::VoteResults,
    ) -> capnp::Result<()> {
        let request = VoteRequest::read(params.get()?.get_request()?)?;
        self.0
            .on_vote(request)
            .await
            .write(results.get().init_reply());
        Ok(())
    }

    async fn append(
        self: CapnpRc<Self>,
        params: peer::AppendParams,
        mut results: peer::AppendResults,
    ) -> capnp::Result<()> {
        let request = AppendRequest::read(params.get()?.get_request()?)?;
        self.0
            .on_append(request)
            .await
            .write(results.get().init_reply());
        Ok(())
    }

    async fn snapshot(
        self: CapnpRc<Self>,
        params: peer::SnapshotParams,
        mut results: peer::SnapshotResults,
    ) -> capnp::Result<()> {
        let request = SnapshotRequest::read(params.get()?.get_request()?)?;
        self.0
            .on_snapshot(request)
            .await
            .write(results.get().init_reply());
        Ok(())
    }

    async fn propose(
        self: CapnpRc<Self>,
        params: peer::ProposeParams,
        mut results: peer::ProposeResults,
    ) -> capnp::Result<()> {
        let payload = params.get()?.get_payload()?.to_vec();
        let reply = self.0.on_propose(payload).await;
        let unknown = || capnp::Error::failed("outcome unknown".into());
        reply.ok_or_else(unknown)?.write(results.get());
        Ok(())
    }

    async fn transfer(
        self: CapnpRc<Self>,
        params: peer::TransferParams,
        mut results: peer::TransferResults,
    ) -> capnp::Result<()> {
        let request = TransferRequest::read(params.get()?.get_request()?)?;
        self.0
            .on_transfer(request)
            .await
            .write(results.get().init_reply());
        Ok(())
    }
}

/// First object of each connection, which hands out the peer interface.
struct GateServer(peer::Client);

impl gate::Server for GateServer {
    async fn peer(
        self: CapnpRc<Self>,
        _params: gate::PeerParams,
        mut results: gate::PeerResults,
    ) -> capnp::Result<()> {
        results.get().set_peer(self.0.clone());
        Ok(())
    }
}

/// One running control host.
struct RunningHost {
    node: Rc<Node<RecordingMachine>>,
    machine: Rc<RefCell<RecordingMachine>>,
    server: Task<Result<(), Box<dyn std::any::Any + Send>>>,
}

/// Returns a port that no other test process uses.
fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.9.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

fn address(host: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, 1 + u8::try_from(host).unwrap()], port))
}

/// Starts a host. It accepts its first `silent` connections but never answers on them.
async fn start_host(host: usize, port: u16, data: &Path, silent: usize) -> RunningHost {
    let names = ["a", "b", "c"];
    let options = Options {
        name: names[host].to_owned(),
        peers: (0..3)
            .map(|peer| (names[peer].to_owned(), address(peer, port)))
            .collect(),
        source_ip: IpAddr::from([127, 0, 9, 1 + u8::try_from(host).unwrap()]),
        data_dir: data.join(names[host]),
        logger: base::log::silent(),
    };
    let machine = Rc::new(RefCell::new(RecordingMachine::default()));
    let node = Node::start(options, Rc::clone(&machine)).unwrap();
    let listener = TcpListener::bind(address(host, port)).await.unwrap();
    let client: peer::Client = capnp_rpc::new_client(PeerServer(Rc::clone(&node)));
    let server = compio::runtime::spawn(async move {
        let (mut connections, mut unanswered) = (Vec::new(), Vec::new());
        while let Ok((stream, _from)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            if unanswered.len() < silent {
                unanswered.push(stream);
                continue;
            }
            let gate: gate::Client = capnp_rpc::new_client(GateServer(client.clone()));
            connections.push(compio::runtime::spawn(proto::rpc::serve(
                stream,
                gate.client,
            )));
        }
    });
    RunningHost {
        node,
        machine,
        server,
    }
}

async fn stop(host: RunningHost) {
    host.node.stop().await;
    host.server.cancel().await;
}

/// Waits until a condition holds on every host.
async fn wait_until(hosts: &[RunningHost], ready: impl Fn(&RunningHost) -> bool) {
    let start = Instant::now();
    while !hosts.iter().all(&ready) {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "the condition does not hold on all hosts within 20 s"
        );
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against messages that lose a field on the wire, connections that are not replaced, and a
/// host that cannot return after it lost its disk.
#[rstest]
#[compio::test]
async fn replicates_over_connections() {
    let data = tempfile::tempdir().unwrap();
    for name in ["a", "b", "c"] {
        agree::format(&data.path().join(name), name).unwrap();
    }
    let port = free_port();
    let mut hosts = Vec::new();
    for host in 0..3 {
        hosts.push(start_host(host, port, data.path(), 0).await);
    }
    wait_until(&hosts, |host| host.node.leader().is_some()).await;

    for round in 0..30_u8 {
        let (index, answer) = hosts[usize::from(round) % 3]
            .node
            .propose_or_forward(vec![round])
            .await
            .unwrap();
        assert_eq!(answer, index.to_string().into_bytes());
    }
    wait_until(&hosts, |host| host.machine.borrow().0.len() == 30).await;

    stop(hosts.remove(2)).await;
    std::fs::remove_dir_all(data.path().join("c")).unwrap();
    wait_until(&hosts, |host| {
        host.node.leader().is_some_and(|leader| leader != "c")
    })
    .await;
    hosts[0].node.propose_or_forward(vec![31]).await.unwrap();
    hosts.push(start_host(2, port, data.path(), 0).await);
    assert!(hosts[2].node.is_learner());
    wait_until(&hosts, |host| {
        !host.node.is_learner() && host.machine.borrow().0.len() == 31
    })
    .await;

    let first = hosts[0].machine.borrow().0.clone();
    assert!(hosts.iter().all(|host| host.machine.borrow().0 == first));
    for host in hosts {
        stop(host).await;
    }
}

/// Guards against a leadership transfer whose messages lose a field on the wire.
#[rstest]
#[compio::test]
async fn transfers_leadership_over_connections() {
    let data = tempfile::tempdir().unwrap();
    for name in ["a", "b", "c"] {
        agree::format(&data.path().join(name), name).unwrap();
    }
    let port = free_port();
    let mut hosts = Vec::new();
    for host in 0..3 {
        hosts.push(start_host(host, port, data.path(), 0).await);
    }
    wait_until(&hosts, |host| host.node.leader().is_some()).await;
    hosts[0].node.propose_or_forward(vec![1]).await.unwrap();
    let former_leader = hosts[0].node.leader().unwrap();
    let leader = hosts
        .iter()
        .find(|host| host.node.is_leader(base::clock::now()));

    let transferred = leader.unwrap().node.transfer_leadership().await;

    assert!(transferred);
    wait_until(&hosts, |host| {
        host.node
            .leader()
            .is_some_and(|leader| leader != former_leader)
    })
    .await;
    for host in hosts {
        stop(host).await;
    }
}

/// Guards against a host that keeps waiting on a connection without answers although a new
/// connection would work.
#[rstest]
#[compio::test]
async fn replaces_silent_connections() {
    let data = tempfile::tempdir().unwrap();
    for name in ["a", "b", "c"] {
        agree::format(&data.path().join(name), name).unwrap();
    }
    let port = free_port();
    let mut hosts = Vec::new();
    for host in 0..3 {
        hosts.push(start_host(host, port, data.path(), 4).await);
    }

    wait_until(&hosts, |host| host.node.leader().is_some()).await;
    let outcome = hosts[0].node.propose_or_forward(vec![7; 100_000]).await;

    assert!(outcome.is_ok(), "{outcome:?}");
    wait_until(&hosts, |host| host.machine.borrow().0.len() == 1).await;
    for host in hosts {
        stop(host).await;
    }
}

/// Guards against a group commit that syncs each entry separately. Prints the measured times.
#[rstest]
#[compio::test]
async fn many_proposals_share_syncs() {
    let data = tempfile::tempdir().unwrap();
    for name in ["a", "b", "c"] {
        agree::format(&data.path().join(name), name).unwrap();
    }
    let port = free_port();
    let mut hosts = Vec::new();
    for host in 0..3 {
        hosts.push(start_host(host, port, data.path(), 0).await);
    }
    let start = Instant::now();
    let leader = loop {
        match hosts
            .iter()
            .find(|host| host.node.is_leader(base::clock::now()))
        {
            Some(leader) => break leader,
            None => compio::time::sleep(Duration::from_millis(10)).await,
        }
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "no leader within 20 s"
        );
    };

    let start = Instant::now();
    for _ in 0..20 {
        leader.node.propose(vec![1; 200]).await.unwrap();
    }
    let sequential = start.elapsed() / 20;
    let start = Instant::now();
    let proposals = (0..500).map(|_| leader.node.propose(vec![1; 200]));
    let outcomes = futures_util::future::join_all(proposals).await;
    let concurrent = start.elapsed() / 500;

    println!("one at a time {sequential:?}, 500 at once {concurrent:?} each");
    assert!(outcomes.iter().all(Result::is_ok));
    assert!(
        concurrent < sequential,
        "{concurrent:?} with 500 at once, {sequential:?} one at a time"
    );
    for host in hosts {
        stop(host).await;
    }
}
