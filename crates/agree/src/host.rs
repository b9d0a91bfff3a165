//! The real surroundings of a node.

use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;

use crate::{
    environment::Environment, error::StartError, files::Directory, node::Options, rpc::Remote,
};

/// A host with a disk, on the compio runtime of the current thread.
#[derive(Debug)]
pub struct Host {
    directory: Directory,
    remote: Remote,
}

impl Host {
    /// Locks the data directory; connections are opened when needed.
    ///
    /// # Errors
    /// The data directory is in use or cannot be used.
    pub fn open(options: &Options) -> Result<Self, StartError> {
        Ok(Self {
            directory: Directory::open(&options.data)?,
            remote: Remote::new(options.host, &options.peers),
        })
    }
}

impl Environment for Host {
    type Disk = Directory;
    type Network = Remote;

    fn now(&self) -> Instant {
        Instant::now()
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

    fn disk(&self) -> &Directory {
        &self.directory
    }

    fn network(&self) -> &Remote {
        &self.remote
    }
}
