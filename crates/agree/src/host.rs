//! Environment of a node outside tests.

use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;

use crate::{
    environment::Environment, error::StartError, files::DataDirectory, node::Options,
    rpc::RpcNetwork,
};

/// Environment with [`base::clock`], a data directory and RPC connections, on the compio runtime
/// of the current thread.
#[derive(Debug)]
pub struct HostEnvironment {
    directory: DataDirectory,
    network: RpcNetwork,
}

impl HostEnvironment {
    /// Locks the data directory; connections are opened when needed.
    ///
    /// # Errors
    /// The data directory is in use or cannot be used.
    pub fn open(options: &Options) -> Result<Self, StartError> {
        Ok(Self {
            directory: DataDirectory::open(&options.data_dir)?,
            network: RpcNetwork::new(options.source_ip, &options.peers),
        })
    }
}

impl Environment for HostEnvironment {
    type Disk = DataDirectory;
    type Network = RpcNetwork;

    fn now(&self) -> Instant {
        base::clock::now()
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> {
        compio::time::sleep(duration)
    }

    fn spawn(&self, task: LocalBoxFuture<'static, ()>) {
        compio::runtime::spawn(task).detach();
    }

    fn random(&self) -> u64 {
        rand::random()
    }

    fn disk(&self) -> &DataDirectory {
        &self.directory
    }

    fn network(&self) -> &RpcNetwork {
        &self.network
    }
}
