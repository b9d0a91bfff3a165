//! State that is synced before it has any effect on other hosts.

use base::HostName;
use serde::{Deserialize, Serialize};

use crate::{
    codec::{seal, unseal},
    message::Identity,
};

/// Boots kept per peer, newest incarnation last. Only an incarnation that is not part of the
/// membership is pushed out, which counts for nothing anyway.
const SEEN_PER_HOST: usize = 8;

/// Content of the `state` file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// This start of this data directory.
    pub identity: Identity,
    /// Newest term heard of.
    pub term: u64,
    /// Host that got the vote in `term`.
    pub vote: Option<HostName>,
    /// Newest boot of each incarnation of each peer.
    pub seen: Vec<Identity>,
}

/// What a host's identity says about its data directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Seen before.
    Known,
    /// Newer than all seen; it is recorded now and must be synced.
    Newer,
    /// It is none of the other control hosts.
    Stranger,
    /// A newer boot, or another one with the same number, was seen: its disk is outdated.
    Stale,
}

impl Verdict {
    /// Whether messages of the sender count.
    pub const fn is_good(self) -> bool {
        matches!(self, Self::Known | Self::Newer)
    }
}

impl HardState {
    /// State of a data directory that has not been started yet.
    #[must_use]
    pub const fn new(host: HostName, incarnation: u64) -> Self {
        Self {
            identity: Identity {
                host,
                incarnation,
                boot: 0,
                nonce: 0,
            },
            term: 0,
            vote: None,
            seen: Vec::new(),
        }
    }

    /// Bytes of the file.
    ///
    /// # Panics
    /// Never: the fields always have a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        seal(&serde_json::to_vec(self).expect("plain fields"))
    }

    /// Parses the file.
    ///
    /// # Errors
    /// The file is damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(unseal(bytes)?).map_err(|cause| cause.to_string())
    }

    /// Compares an identity with the newest boot seen and records it if it is newer. `member` is the
    /// incarnation of that host in the membership.
    pub(crate) fn judge(&mut self, from: &Identity, member: Option<u64>) -> Verdict {
        let known = self
            .seen
            .iter_mut()
            .find(|seen| seen.host == from.host && seen.incarnation == from.incarnation);
        match known {
            Some(seen) if seen.boot == from.boot && seen.nonce == from.nonce => Verdict::Known,
            Some(seen) if seen.boot < from.boot => {
                *seen = from.clone();
                Verdict::Newer
            }
            Some(_) => Verdict::Stale,
            None => {
                let mine = |seen: &Identity| seen.host == from.host;
                if self.seen.iter().filter(|seen| mine(seen)).count() >= SEEN_PER_HOST
                    && let Some(oldest) = self
                        .seen
                        .iter()
                        .position(|seen| mine(seen) && Some(seen.incarnation) != member)
                {
                    self.seen.remove(oldest);
                }
                self.seen.push(from.clone());
                Verdict::Newer
            }
        }
    }

    /// Declares every boot of an incarnation outdated.
    pub(crate) fn condemn(&mut self, from: &Identity) {
        self.seen
            .retain(|seen| seen.host != from.host || seen.incarnation != from.incarnation);
        self.seen.push(Identity {
            boot: u64::MAX,
            nonce: 0,
            ..from.clone()
        });
    }
}
