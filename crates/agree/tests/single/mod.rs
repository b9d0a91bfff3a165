//! Runs one node on a real disk.

use std::{
    cell::RefCell,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    rc::Rc,
    time::Duration,
};

use agree::{Node, Options, StartError, StateMachine};

/// State machine that counts the commands.
#[derive(Default)]
pub struct Counter(u64);

impl StateMachine for Counter {
    fn apply(&mut self, _index: u64, _payload: &[u8]) -> Vec<u8> {
        self.0 += 1;
        self.0.to_string().into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_string().into_bytes()
    }

    fn restore(&mut self, bytes: &[u8]) {
        self.0 = std::str::from_utf8(bytes).unwrap().parse().unwrap();
    }
}

pub type StartResult = Result<Rc<Node<Counter>>, StartError>;

/// Starts a node that is the only host of its cluster, or one of three.
pub fn start(data: &Path, name: &str, single_host: bool) -> StartResult {
    let names: &[&str] = if single_host {
        &["a"]
    } else {
        &["a", "b", "c"]
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let options = Options {
        name: name.to_owned(),
        peers: names
            .iter()
            .map(|name| ((*name).to_owned(), address))
            .collect(),
        source_ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        data_dir: data.to_owned(),
        logger: base::log::silent(),
    };
    Node::start(options, Rc::new(RefCell::new(Counter::default())))
}

/// Waits until a node is the leader and can answer linearizable reads.
pub async fn wait_until_leader(node: &Node<Counter>) {
    while node.read_index().await.is_err() {
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}
