//! Three nodes over real connections and real files.

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
use capnp::capability::Rc as Held;
use compio::{net::TcpListener, runtime::Task};
use proto::schema::{gate, peer};
use rstest::rstest;

#[derive(Default)]
struct Tape(Vec<Vec<u8>>);

impl StateMachine for Tape {
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

struct Desk(Rc<Node<Tape>>);

impl peer::Server for Desk {
    async fn vote(
        self: Held<Self>,
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
        self: Held<Self>,
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
        self: Held<Self>,
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
        self: Held<Self>,
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
        self: Held<Self>,
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

struct Front(peer::Client);

impl gate::Server for Front {
    async fn peer(
        self: Held<Self>,
        _params: gate::PeerParams,
        mut results: gate::PeerResults,
    ) -> capnp::Result<()> {
        results.get().set_peer(self.0.clone());
        Ok(())
    }
}

/// One running control host.
struct Running {
    node: Rc<Node<Tape>>,
    tape: Rc<RefCell<Tape>>,
    server: Task<Result<(), Box<dyn std::any::Any + Send>>>,
}

/// A port that no other test process uses.
fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.9.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

fn address(host: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, 1 + u8::try_from(host).unwrap()], port))
}

/// Starts a host. Its first `silent` connections are accepted and never answered.
async fn run(host: usize, port: u16, data: &Path, silent: usize) -> Running {
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
    let tape = Rc::new(RefCell::new(Tape::default()));
    let node = Node::start(options, Rc::clone(&tape)).unwrap();
    let listener = TcpListener::bind(address(host, port)).await.unwrap();
    let client: peer::Client = capnp_rpc::new_client(Desk(Rc::clone(&node)));
    let server = compio::runtime::spawn(async move {
        let (mut connections, mut held) = (Vec::new(), Vec::new());
        while let Ok((stream, _from)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            if held.len() < silent {
                held.push(stream);
                continue;
            }
            let front: gate::Client = capnp_rpc::new_client(Front(client.clone()));
            connections.push(compio::runtime::spawn(proto::rpc::serve(
                stream,
                front.client,
            )));
        }
    });
    Running { node, tape, server }
}

async fn stop(host: Running) {
    host.node.stop().await;
    host.server.cancel().await;
}

async fn settled(hosts: &[Running], ready: impl Fn(&Running) -> bool) {
    let start = Instant::now();
    while !hosts.iter().all(&ready) {
        assert!(start.elapsed() < Duration::from_secs(20), "not within 20 s");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against messages that lose a field on the wire, connections that are not replaced, and a
/// host that cannot return, with its disk or without.
#[rstest]
#[compio::test]
async fn agrees_over_connections() {
    let data = tempfile::tempdir().unwrap();
    for name in ["a", "b", "c"] {
        agree::format(&data.path().join(name), name).unwrap();
    }
    let port = free_port();
    let mut hosts = Vec::new();
    for host in 0..3 {
        hosts.push(run(host, port, data.path(), 0).await);
    }
    settled(&hosts, |host| host.node.leader().is_some()).await;

    for round in 0..30_u8 {
        let (index, answer) = hosts[usize::from(round) % 3]
            .node
            .propose_or_forward(vec![round])
            .await
            .unwrap();
        assert_eq!(answer, index.to_string().into_bytes());
    }
    settled(&hosts, |host| host.tape.borrow().0.len() == 30).await;

    stop(hosts.remove(2)).await;
    std::fs::remove_dir_all(data.path().join("c")).unwrap();
    settled(&hosts, |host| {
        host.node.leader().is_some_and(|leader| leader != "c")
    })
    .await;
    hosts[0].node.propose_or_forward(vec![31]).await.unwrap();
    hosts.push(run(2, port, data.path(), 0).await);
    assert!(hosts[2].node.is_learner());
    settled(&hosts, |host| {
        !host.node.is_learner() && host.tape.borrow().0.len() == 31
    })
    .await;

    let first = hosts[0].tape.borrow().0.clone();
    assert!(hosts.iter().all(|host| host.tape.borrow().0 == first));
    for host in hosts {
        stop(host).await;
    }
}

/// Guards against a transfer of the leadership that loses a field on the wire.
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
        hosts.push(run(host, port, data.path(), 0).await);
    }
    settled(&hosts, |host| host.node.leader().is_some()).await;
    hosts[0].node.propose_or_forward(vec![1]).await.unwrap();
    let former = hosts[0].node.leader().unwrap();
    let leading = hosts
        .iter()
        .find(|host| host.node.is_leader(Instant::now()));

    let transferred = leading.unwrap().node.transfer_leadership().await;

    assert!(transferred);
    settled(&hosts, |host| {
        host.node.leader().is_some_and(|leader| leader != former)
    })
    .await;
    for host in hosts {
        stop(host).await;
    }
}

/// Guards against a host that waits for a connection that went silent while new ones work.
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
        hosts.push(run(host, port, data.path(), 4).await);
    }

    settled(&hosts, |host| host.node.leader().is_some()).await;
    let outcome = hosts[0].node.propose_or_forward(vec![7; 100_000]).await;

    assert!(outcome.is_ok(), "{outcome:?}");
    settled(&hosts, |host| host.tape.borrow().0.len() == 1).await;
    for host in hosts {
        stop(host).await;
    }
}

/// Guards against a group commit that syncs each entry on its own: prints what it measures.
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
        hosts.push(run(host, port, data.path(), 0).await);
    }
    let start = Instant::now();
    let leader = loop {
        match hosts
            .iter()
            .find(|host| host.node.is_leader(Instant::now()))
        {
            Some(leader) => break leader,
            None => compio::time::sleep(Duration::from_millis(10)).await,
        }
        assert!(start.elapsed() < Duration::from_secs(20), "no leader");
    };

    let start = Instant::now();
    for _ in 0..20 {
        leader.node.propose(vec![1; 200]).await.unwrap();
    }
    let single = start.elapsed() / 20;
    let start = Instant::now();
    let all = (0..500).map(|_| leader.node.propose(vec![1; 200]));
    let outcomes = futures_util::future::join_all(all).await;
    let shared = start.elapsed() / 500;

    println!("one at a time {single:?}, 500 at once {shared:?} each");
    assert!(outcomes.iter().all(Result::is_ok));
    assert!(shared < single, "{shared:?} {single:?}");
    for host in hosts {
        stop(host).await;
    }
}
