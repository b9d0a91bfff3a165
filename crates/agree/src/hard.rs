//! Hard state: synced before a change of it affects other hosts.

use base::HostName;
use serde::{Deserialize, Serialize};

use crate::{
    codec::{unwrap_frame, wrap_frame},
    message::Identity,
};

/// Identities kept per peer, newest incarnation last. When there are more, the oldest incarnation
/// that is not in the membership is dropped; it counts in no quorum.
const SEEN_PER_HOST: usize = 8;

/// Content of the `state` file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Identity of the current start of this host.
    pub identity: Identity,
    /// Current term.
    pub term: u64,
    /// Host that this host voted for in `term`.
    pub vote: Option<HostName>,
    /// Newest boot seen of each incarnation of each peer.
    pub seen: Vec<Identity>,
}

/// Result of comparing a host's identity with the newest boot seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdentityStatus {
    /// Equal to the newest boot seen.
    Known,
    /// Newer than all seen; it is recorded and must be synced.
    Newer,
    /// Not one of the other control hosts.
    UnknownHost,
    /// Outdated: a newer boot, or another boot with the same number, was seen.
    Stale,
}

impl IdentityStatus {
    /// Whether messages of the sender are processed.
    pub const fn is_accepted(self) -> bool {
        matches!(self, Self::Known | Self::Newer)
    }
}

impl HardState {
    /// Hard state of a data directory that has not been started yet.
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

    /// Encodes the file.
    ///
    /// # Panics
    /// Never: the fields always have a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        wrap_frame(&serde_json::to_vec(self).expect("plain fields"))
    }

    /// Parses the file.
    ///
    /// # Errors
    /// The file is damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(unwrap_frame(bytes)?).map_err(|cause| cause.to_string())
    }

    /// Compares an identity with the newest boot seen and records it if it is newer. `member` is
    /// the incarnation of that host in the membership.
    pub(crate) fn check_identity(
        &mut self,
        from: &Identity,
        member: Option<u64>,
    ) -> IdentityStatus {
        let known = self
            .seen
            .iter_mut()
            .find(|seen| seen.host == from.host && seen.incarnation == from.incarnation);
        match known {
            Some(seen) if seen.boot == from.boot && seen.nonce == from.nonce => {
                IdentityStatus::Known
            }
            Some(seen) if seen.boot < from.boot => {
                *seen = from.clone();
                IdentityStatus::Newer
            }
            Some(_) => IdentityStatus::Stale,
            None => {
                let same_host = |seen: &Identity| seen.host == from.host;
                if self.seen.iter().filter(|seen| same_host(seen)).count() >= SEEN_PER_HOST
                    && let Some(oldest) = self
                        .seen
                        .iter()
                        .position(|seen| same_host(seen) && Some(seen.incarnation) != member)
                {
                    self.seen.remove(oldest);
                }
                self.seen.push(from.clone());
                IdentityStatus::Newer
            }
        }
    }

    /// Marks every boot of an incarnation as outdated.
    pub(crate) fn mark_incarnation_stale(&mut self, from: &Identity) {
        self.seen
            .retain(|seen| seen.host != from.host || seen.incarnation != from.incarnation);
        self.seen.push(Identity {
            boot: u64::MAX,
            nonce: 0,
            ..from.clone()
        });
    }
}
