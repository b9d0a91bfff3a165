@0xd4b1a6f0c2e97a35;

# Messages between the processes of goldcrestrail.
# Durations are milliseconds, sizes are bytes, ids are text unless said otherwise.

struct Position {
  term @0 :UInt64;
  offset @1 :UInt64;
}

# One (host, boot) pair of a control host. A higher boot replaces a lower one; the same boot with
# another nonce means that the disk is older than what the peer has seen.
struct Identity {
  host @0 :Text;
  incarnation @1 :UInt64;
  boot @2 :UInt64;
  nonce @3 :UInt64;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  payload @2 :Data;
}

struct VoteRequest {
  from @0 :Identity;
  term @1 :UInt64;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  preVote @4 :Bool;
}

struct VoteReply {
  from @0 :Identity;
  term @1 :UInt64;
  granted @2 :Bool;
  # The receiver has seen a newer boot of the sender, which must become a learner.
  stale @3 :Bool;
}

# Sent by a leader that has given up its leadership.
struct TransferRequest {
  from @0 :Identity;
  # Term that the sender led.
  term @1 :UInt64;
  # End of the sender's log, which the receiver must hold on disk.
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
}

struct TransferReply {
  from @0 :Identity;
  # Whether the receiver starts an election.
  accepted @1 :Bool;
}

struct AppendRequest {
  from @0 :Identity;
  term @1 :UInt64;
  prevIndex @2 :UInt64;
  prevTerm @3 :UInt64;
  commit @4 :UInt64;
  entries @5 :List(LogEntry);
}

struct AppendReply {
  from @0 :Identity;
  term @1 :UInt64;
  success @2 :Bool;
  # Highest index that the receiver holds on disk and that matches the sender's log.
  matched @3 :UInt64;
  stale @4 :Bool;
  # The receiver has no vote and asks to be readmitted.
  learner @5 :Bool;
}

struct SnapshotRequest {
  from @0 :Identity;
  term @1 :UInt64;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  offset @4 :UInt64;
  chunk @5 :Data;
  done @6 :Bool;
}

struct SnapshotReply {
  from @0 :Identity;
  term @1 :UInt64;
  # Offset that the receiver wants next.
  next @2 :UInt64;
}

struct UpstreamStatus {
  member @0 :Text;
  store @1 :Text;
  primary @2 :Bool;
  position @3 :Position;
  # Address of the primary that a replica follows, or empty.
  following @4 :Text;
}

# Calls between control hosts.
interface Peer {
  vote @0 (request :VoteRequest) -> (reply :VoteReply);
  append @1 (request :AppendRequest) -> (reply :AppendReply);
  snapshot @2 (request :SnapshotRequest) -> (reply :SnapshotReply);
  # Answers whether this host holds no unexpired lease grant older than the record version.
  # Also tells how far writes of the group were acknowledged, by the reports of entry processes, and
  # whether all holders of grants reported.
  grants @3 (version :UInt64, group :Text)
      -> (clear :Bool, known :Bool, acks :Acks, complete :Bool);
  # Reads the status of an upstream on behalf of a host that can't reach it.
  # `ended`: the process that served the target is gone from its address.
  probe @4 (target :Target) -> (reached :Bool, status :UpstreamStatus, ended :Ended);
  # Gives an upstream the order to follow or to become primary on behalf of a host that can't reach
  # it. It becomes primary only if it has the store of the target.
  order @5 (target :Target, order :Text) -> (done :Bool, cause :Text);
  # Forwards a proposal to the leader.
  propose @6 (payload :Data) -> (accepted :Bool, index :UInt64, answer :Data, leader :Text);
  # Asks the receiver to stand for election at once, because the leader is about to stop.
  transfer @7 (request :TransferRequest) -> (reply :TransferReply);
  # Passes on announcements that the caller heard from members itself.
  announce @8 (announcements :List(Announcement)) -> ();
  # Asks the leader for a seat for a host without state. Without a free one the name is empty.
  # `index`: log index at which the seat was given; 0 from hosts that don't tell.
  join @9 (address :Text) -> (name :Text, seats :List(Seat), leader :Text, index :UInt64);
  # Asks who holds a seat. `known`: the receiver leads and knows all that is committed.
  # `counted`: the incarnation of the seat counts in a quorum, or will once a pending entry commits.
  holder @10 (seat :Text, incarnation :UInt64)
      -> (known :Bool, address :Text, counted :Bool, seats :List(Seat));
}

struct Announcement {
  member @0 :Text;
  group @1 :Text;
  store @2 :Text;
  address @3 :Text;
  zone @4 :Text;
  region @5 :Text;
  connections @6 :UInt32;
  slots @7 :UInt32;
  leaving @8 :Bool;
  # Milliseconds since the announcement was heard.
  age @9 :UInt32;
  # Number of the member on this connection; only in a numbered report.
  number @10 :UInt16;
  # Counts the announcements of one start of the member; 0 when the member does not count them.
  sequence @11 :UInt64;
  # Start of the member in milliseconds since the epoch on its own clock; 0 when it is not told.
  born @12 :UInt64;
  # The member said that it ends now.
  gone @13 :Bool;
}

# Whether a database that can't be asked is known to have ended.
enum Ended {
  unknown @0;
  # Its address refuses connections.
  refused @1;
  # Another database serves at its address.
  replaced @2;
}

# A database as control hosts address it.
struct Target {
  address @0 :Text;
  group @1 :Text;
  member @2 :Text;
  store @3 :Text;
}

# A seat among the control hosts and the RPC address of the host that holds it.
struct Seat {
  name @0 :Text;
  address @1 :Text;
}

# How far writes of a group were acknowledged to callers: up to an offset between least and most. No
# bounds if the term is 0.
struct Acks {
  # Any member of the group, by its number on the connection; only in a report.
  number @0 :UInt16;
  term @1 :UInt64;
  least @2 :UInt64;
  most @3 :UInt64;
  # Milliseconds since least last grew; only in a report.
  age @4 :UInt32;
}

# Gives a member the number that stands for it on this connection.
struct MemberNumber {
  number @0 :UInt16;
  group @1 :Text;
  member @2 :Text;
}

# An announcement that was heard again unchanged.
struct Repeat {
  number @0 :UInt16;
  age @1 :UInt32;
}

# A sighting of a numbered member.
struct Seen {
  number @0 :UInt16;
  health @1 :Health;
  primary @2 :Bool;
  since @3 :UInt32;
  term @4 :UInt64;
  offset @5 :UInt64;
}

# A demand at a numbered member.
struct Wanted {
  number @0 :UInt16;
  used @1 :UInt32;
  waiting @2 :UInt32;
  wanted @3 :UInt32;
}

# A permit for a numbered member.
struct Lent {
  number @0 :UInt16;
  lent @1 :UInt32;
}

enum Health {
  ok @0;
  refused @1;
  silent @2;
}

# What one entry process sees of one member.
struct Sighting {
  group @0 :Text;
  member @1 :Text;
  health @2 :Health;
  # Milliseconds since the last good answer.
  since @3 :UInt32;
  position @4 :Position;
  primary @5 :Bool;
}

struct PermitDemand {
  member @0 :Text;
  # Connections in use now, base share included.
  used @1 :UInt32;
  # Requests that wait for a connection.
  waiting @2 :UInt32;
  # Connections that the entry process would like to hold, base share included.
  wanted @3 :UInt32;
}

struct Permit {
  member @0 :Text;
  # Lent connections beyond the base share.
  lent @1 :UInt32;
}

struct RenewRequest {
  entry @0 :Text;
  zone @1 :Text;
  # Random id of the process run, so that a restarted process is told from its former self.
  run @2 :UInt64;
  # Record version that the entry process has applied.
  recordVersion @3 :UInt64;
  configVersion @4 :UInt64;
  announcements @5 :List(Announcement);
  sightings @6 :List(Sighting);
  demands @7 :List(PermitDemand);
  # HTTP address of the entry process, for operators.
  http @8 :Text;
  stopping @9 :Bool;
  # 0: the request stands alone, with names and without numbers. 1: a complete report that starts
  # the numbering of this connection anew; entry, zone, run and http are only in this one. Higher:
  # the changes since the report before; everything left out is unchanged.
  sequence @10 :UInt32;
  names @11 :List(MemberNumber);
  repeats @12 :List(Repeat);
  # All members of the groups that changed.
  seen @13 :List(Seen);
  wanted @14 :List(Wanted);
  # Address that takes sessions which other entry processes forward; empty if there is none. As zone,
  # only in a complete report.
  forwarding @15 :Text;
  # Mark of the list of near entry processes that the sender has; 0 for none.
  nearMark @16 :UInt64;
  # Groups whose bounds changed.
  acks @17 :List(Acks);
  # The sender reports how far it acknowledges writes.
  reportsAcks @18 :Bool;
}

struct NearEntry {
  name @0 :Text;
  # Address that takes forwarded sessions.
  address @1 :Text;
}

struct RenewReply {
  # The write lease is granted by this host.
  granted @0 :Bool;
  # Duration of the grant from the receipt of the request.
  duration @1 :UInt32;
  recordVersion @2 :UInt64;
  configVersion @3 :UInt64;
  directoryVersion @4 :UInt64;
  host @5 :Text;
  leader @6 :Bool;
  # Only from the leader: the whole list of lent connections, valid for permitDuration.
  permits @7 :List(Permit);
  permitDuration @8 :UInt32;
  # An operator asks this run of the entry process to stop gracefully.
  drain @9 :Bool;
  # The report did not follow the one before and was not used; the next one must be complete.
  resync @10 :Bool;
  # The permits of a numbered report.
  lent @11 :List(Lent);
  # Entry processes that this host heard from lately.
  entries @12 :UInt32;
  # Only from the leader: live entry processes of the sender's zone that take forwarded sessions. Left
  # out when the sender has the list with this mark.
  near @13 :List(NearEntry);
  nearMark @14 :UInt64;
  # Zones with live entry processes.
  zones @15 :UInt32;
}

enum GroupState {
  stable @0;
  fencing @1;
  promoting @2;
}

struct MemberRecord {
  member @0 :Text;
  store @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  region @4 :Text;
}

struct GroupRecord {
  group @0 :Text;
  # Term in force, or the term that is ended while state is not stable.
  term @1 :UInt64;
  state @2 :GroupState;
  # Next term while state is not stable.
  next @3 :UInt64;
  # Member that is primary, or that is being promoted.
  primary @4 :Text;
  members @5 :List(MemberRecord);
  # Log index of the last change.
  version @6 :UInt64;
}

struct WatchRequest {
  entry @0 :Text;
  recordVersion @1 :UInt64;
  configVersion @2 :UInt64;
  # Version of the directory that the caller has from this host and run of this host.
  directoryVersion @3 :UInt64;
  directoryRun @4 :UInt64;
  # Milliseconds after which an answer without news is expected; 0 means one second.
  patience @5 :UInt32;
  # How the document is told: as text, as a change, or only by its version.
  telling @6 :Telling;
  # Version of the list of seats that the caller has, plus one. 0: the caller does not tell it, and
  # has the list of its record version.
  seatsKnown @7 :UInt64;
}

enum Telling {
  text @0;
  change @1;
  version @2;
}

struct WatchReply {
  recordVersion @0 :UInt64;
  # Records that changed after the version asked.
  records @1 :List(GroupRecord);
  configVersion @2 :UInt64;
  # Document text when the version is newer than asked, else empty.
  document @3 :Text;
  directoryVersion @4 :UInt64;
  directoryRun @5 :UInt64;
  # Announcements heard or changed since the directory version asked.
  announcements @6 :List(Announcement);
  # Milliseconds since this host last heard from a leader with a majority.
  age @7 :UInt32;
  # All seats with their hosts, when a seat changed after the version asked.
  seats @8 :List(Seat);
  # Change of the document that leads from the text of version changeBase (0: from an empty one).
  change @9 :Data;
  changeBase @10 :UInt64;
  # Version of the list of seats.
  seatsVersion @11 :UInt64;
}

# Share of an organisation's rate limit that an entry process holds.
struct RateAsk {
  # First 64 bits of the SHA-256 of the organisation's name.
  org @0 :UInt64;
  # Share in force: thousandths of operations per second, and of operations.
  rate @1 :UInt32;
  depth @2 :UInt32;
  # Thousandths of operations that may run now.
  tokens @3 :UInt32;
  # Thousandths of operations given back since the last call.
  returned @4 :UInt32;
  # Thousandths of operations per second that callers ask for.
  demand @5 :UInt32;
  # Operations that wait for the answer.
  waiting @6 :UInt32;
  # The leader whose answer was applied last was the last to extend this share.
  acknowledged @7 :Bool;
}

struct RateGrant {
  org @0 :UInt64;
  rate @1 :UInt32;
  depth @2 :UInt32;
  # Thousandths of operations added to those that may run now.
  tokens @3 :UInt32;
  # Nothing is left for operations that wait.
  exhausted @4 :Bool;
  # Operations that may run in addition, soon after the call.
  instant @5 :UInt32;
}

# Receives cancel requests for sessions of one entry process.
interface Canceller {
  # Cancels what the session runs, when it exists and the secret is its own.
  cancel @0 (pid :Int32, secret :Int32) -> ();
}

# Calls from an entry process to a control host.
interface Control {
  renew @0 (request :RenewRequest) -> (reply :RenewReply);
  # Answers when something is newer than asked, or after the patience asked for.
  watch @1 (request :WatchRequest) -> (reply :WatchReply);
  # Offers to receive cancel requests until the connection ends. The lowest 15 bits of the run are
  # the mark that the process numbers of its sessions carry.
  listen @2 (run :UInt64, canceller :Canceller) -> ();
  # Passes a cancel request on to the entry processes whose sessions carry the mark of `pid`, and
  # returns to how many.
  cancel @3 (pid :Int32, secret :Int32) -> (reached :UInt32);
  # Extends shares of rate limits that an entry process holds, and lends further ones. `sequence`
  # grows with each call of the run, to whichever host. `leader`: term of the leader whose answer was
  # applied last. `full`: the call names all shares that the process holds. The answer names the shares
  # that change; all others that the call names stay. An answer with term 0 comes from a host that
  # doesn't lead, or has answered a later call, and is not applied.
  lendRates @4 (entry :Text, run :UInt64, sequence :UInt64, leader :UInt64, full :Bool,
      asks :List(RateAsk))
      -> (term :UInt64, grants :List(RateGrant));
}

# The interface that every control host offers on its one RPC address.
interface Gate {
  control @0 () -> (control :Control);
  peer @1 () -> (peer :Peer);
}
