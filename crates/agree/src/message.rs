//! Messages between control hosts and their conversion from and to Cap'n Proto.

use base::HostName;
use proto::schema;
use serde::{Deserialize, Serialize};

use crate::log::Entry;

/// Identifies one start (boot) of one data directory (incarnation) of a host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the host.
    pub host: HostName,
    /// Random id of the data directory; 0 for that of a founding host.
    pub incarnation: u64,
    /// Number of starts of this data directory, this one included.
    pub boot: u64,
    /// Random number drawn at this start. Tells two boots with the same number apart.
    pub nonce: u64,
}

/// Requests a vote, or with `pre_vote` asks whether a vote would be granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteRequest {
    /// Identity of the sender.
    pub from: Identity,
    /// Term of the election. A pre-vote with term 0 only announces the sender's identity.
    pub term: u64,
    /// Index of the candidate's last log entry.
    pub last_index: u64,
    /// Term of the candidate's last log entry.
    pub last_term: u64,
    /// Whether this is a pre-vote, which changes no state of the voter.
    pub pre_vote: bool,
}

/// Reply to [`VoteRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VoteReply {
    /// Identity of the voter.
    pub from: Identity,
    /// Voter's term.
    pub term: u64,
    /// Whether the vote is granted.
    pub granted: bool,
    /// Whether the voter has seen a newer boot of the candidate, which must become a learner.
    pub stale: bool,
}

/// Log entries from the leader (`AppendEntries`); a heartbeat if there are none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendRequest {
    /// Identity of the leader.
    pub from: Identity,
    /// Leader's term.
    pub term: u64,
    /// Index of the entry before `entries`.
    pub prev_index: u64,
    /// Term of the entry before `entries`.
    pub prev_term: u64,
    /// Leader's commit index.
    pub commit: u64,
    /// Entries with consecutive indexes.
    pub entries: Vec<Entry>,
}

/// Reply to [`AppendRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendReply {
    /// Identity of the follower.
    pub from: Identity,
    /// Follower's term.
    pub term: u64,
    /// Whether the follower's log matches at `prev_index`.
    pub success: bool,
    /// On success the highest index on disk that matches the leader's log, else a hint at which
    /// index the logs may match.
    pub matched: u64,
    /// Whether the follower has seen a newer boot of the leader, which must become a learner.
    pub stale: bool,
    /// Whether the follower is a learner and asks to be readmitted.
    pub learner: bool,
}

/// Chunk of a snapshot file (`InstallSnapshot`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotRequest {
    /// Identity of the leader.
    pub from: Identity,
    /// Leader's term.
    pub term: u64,
    /// Last log index that the snapshot covers.
    pub last_index: u64,
    /// Term of that index.
    pub last_term: u64,
    /// Byte offset of `chunk` in the file.
    pub offset: u64,
    /// Bytes of the file.
    pub chunk: Vec<u8>,
    /// Whether this is the last chunk.
    pub done: bool,
}

/// Reply to [`SnapshotRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotReply {
    /// Identity of the follower.
    pub from: Identity,
    /// Follower's term.
    pub term: u64,
    /// Offset that the follower wants next; the file size once it has stored the snapshot.
    pub next: u64,
}

/// Asks a host that holds the whole log to start an election at once (`TimeoutNow`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferRequest {
    /// Former leader, which transfers its leadership.
    pub from: Identity,
    /// Term of its leadership.
    pub term: u64,
    /// Index of its last log entry.
    pub last_index: u64,
    /// Term of its last log entry.
    pub last_term: u64,
}

/// Reply to [`TransferRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferReply {
    /// Identity of the host that received the request.
    pub from: Identity,
    /// Whether the receiver starts an election.
    pub accepted: bool,
}

/// Reply to a forwarded proposal whose outcome is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProposeReply {
    /// Whether the payload was applied. If false, it never will be.
    pub accepted: bool,
    /// Log index of the payload.
    pub index: u64,
    /// Answer of the state machine.
    pub answer: Vec<u8>,
    /// Leader as far as the receiver knows, or empty.
    pub leader: HostName,
}

fn read_text(reader: capnp::text::Reader<'_>) -> capnp::Result<String> {
    Ok(reader.to_str()?.to_owned())
}

impl Identity {
    /// Reads the Cap'n Proto form.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::identity::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            host: read_text(reader.get_host()?)?,
            incarnation: reader.get_incarnation(),
            boot: reader.get_boot(),
            nonce: reader.get_nonce(),
        })
    }

    /// Writes the Cap'n Proto form.
    pub fn write(&self, mut builder: schema::identity::Builder<'_>) {
        builder.set_host(&self.host);
        builder.set_incarnation(self.incarnation);
        builder.set_boot(self.boot);
        builder.set_nonce(self.nonce);
    }
}

impl VoteRequest {
    /// Reads the Cap'n Proto form.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::vote_request::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            from: Identity::read(reader.get_from()?)?,
            term: reader.get_term(),
            last_index: reader.get_last_index(),
            last_term: reader.get_last_term(),
            pre_vote: reader.get_pre_vote(),
        })
    }

    /// Writes the Cap'n Proto form.
    pub fn write(&self, mut builder: schema::vote_request::Builder<'_>) {
        self.from.write(builder.reborrow().init_from());
        builder.set_term(self.term);
        builder.set_last_index(self.last_index);
        builder.set_last_term(self.last_term);
        builder.set_pre_vote(self.pre_vote);
    }
}

impl VoteReply {
    /// Reads the Cap'n Proto form.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::vote_reply::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            from: Identity::read(reader.get_from()?)?,
            term: reader.get_term(),
            granted: reader.get_granted(),
            stale: reader.get_stale(),
        })
    }

    /// Writes the Cap'n Proto form.
    pub fn write(&self, mut builder: schema::vote_reply::Builder<'_>) {
        self.from.write(builder.reborrow().init_from());
        builder.set_term(self.term);
        builder.set_granted(self.granted);
        builder.set_stale(self.stale);
    }
}

impl AppendRequest {
    /// Reads the Cap'n Proto form.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::append_request::Reader<'_>) -> capnp::Result<Self> {
        let mut entries = Vec::new();
        for entry in reader.get_entries()? {
            entries.push(Entry {
                index: entry.get_index(),
                term: entry.get_term(),
                payload: entry.get_payload()?.into(),
            });
        }
        Ok(Self {
            from: Identity::read(reader.get_from()?)?,
            term: reader.get_term(),
            prev_index: reader.get_prev_index(),
            prev_term: reader.get_prev_term(),
            commit: reader.get_commit(),
            entries,
        })
    }

    /// Writes the Cap'n Proto form.
    ///
    /// # Panics
    /// The request has more than `u32::MAX` entries; the size of batches rules that out.
    pub fn write(&self, mut builder: schema::append_request::Builder<'_>) {
        self.from.write(builder.reborrow().init_from());
        builder.set_term(self.term);
        builder.set_prev_index(self.prev_index);
        builder.set_prev_term(self.prev_term);
        builder.set_commit(self.commit);
        let count = u32::try_from(self.entries.len()).expect("batches are bounded");
        let mut list = builder.init_entries(count);
        for (slot, entry) in (0..count).zip(&self.entries) {
            let mut item = list.reborrow().get(slot);
            item.set_index(entry.index);
            item.set_term(entry.term);
            item.set_payload(&entry.payload);
        }
    }
}

impl AppendReply {
    /// Reads the Cap'n Proto form.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::append_reply::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            from: Identity::read(reader.get_from()?)?,
            term: reader.get_term(),
            success: reader.get_success(),
            matched: reader.get_matched(),
            stale: reader.get_stale(),
            learner: reader.get_learner(),
        })
    }

    /// Writes the Cap'n Proto form.
    pub fn write(&self, mut builder: schema::append_reply::Builder<'_>) {
        self.from.write(builder.reborrow().init_from());
        builder.set_term(self.term);
        builder.set_success(self.success);
        builder.set_matched(self.matched);
        builder.set_stale(self.stale);
        builder.set_learner(self.learner);
    }
}

impl SnapshotRequest {
    /// Reads the Cap'n Proto form.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::snapshot_request::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            from: Identity::read(reader.get_from()?)?,
            term: reader.get_term(),
            last_index: reader.get_last_index(),
            last_term: reader.get_last_term(),
            offset: reader.get_offset(),
            chunk: reader.get_chunk()?.to_vec(),
            done: reader.get_done(),
        })
    }

    /// Writes the Cap'n Proto form.
    pub fn write(&self, mut builder: schema::snapshot_request::Builder<'_>) {
        self.from.write(builder.reborrow().init_from());
        builder.set_term(self.term);
        builder.set_last_index(self.last_index);
        builder.set_last_term(self.last_term);
        builder.set_offset(self.offset);
        builder.set_chunk(&self.chunk);
        builder.set_done(self.done);
    }
}

impl SnapshotReply {
    /// Reads the Cap'n Proto form.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::snapshot_reply::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            from: Identity::read(reader.get_from()?)?,
            term: reader.get_term(),
            next: reader.get_next(),
        })
    }

    /// Writes the Cap'n Proto form.
    pub fn write(&self, mut builder: schema::snapshot_reply::Builder<'_>) {
        self.from.write(builder.reborrow().init_from());
        builder.set_term(self.term);
        builder.set_next(self.next);
    }
}

impl TransferRequest {
    /// Reads the Cap'n Proto form.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::transfer_request::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            from: Identity::read(reader.get_from()?)?,
            term: reader.get_term(),
            last_index: reader.get_last_index(),
            last_term: reader.get_last_term(),
        })
    }

    /// Writes the Cap'n Proto form.
    pub fn write(&self, mut builder: schema::transfer_request::Builder<'_>) {
        self.from.write(builder.reborrow().init_from());
        builder.set_term(self.term);
        builder.set_last_index(self.last_index);
        builder.set_last_term(self.last_term);
    }
}

impl TransferReply {
    /// Reads the Cap'n Proto form.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::transfer_reply::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            from: Identity::read(reader.get_from()?)?,
            accepted: reader.get_accepted(),
        })
    }

    /// Writes the Cap'n Proto form.
    pub fn write(&self, mut builder: schema::transfer_reply::Builder<'_>) {
        self.from.write(builder.reborrow().init_from());
        builder.set_accepted(self.accepted);
    }
}

impl ProposeReply {
    /// Reads the results of `Peer.propose`.
    ///
    /// # Errors
    /// The message is malformed.
    pub fn read(reader: schema::peer::propose_results::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            accepted: reader.get_accepted(),
            index: reader.get_index(),
            answer: reader.get_answer()?.to_vec(),
            leader: read_text(reader.get_leader()?)?,
        })
    }

    /// Writes the results of `Peer.propose`.
    pub fn write(&self, mut builder: schema::peer::propose_results::Builder<'_>) {
        builder.set_accepted(self.accepted);
        builder.set_index(self.index);
        builder.set_answer(&self.answer);
        builder.set_leader(&self.leader);
    }
}
