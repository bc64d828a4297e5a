@0xc3f1d2a96be05847;
# Protocol between entry instances.
#
# Rules of change: fields and union members are only added, never renumbered or reused. A reader takes
# a missing field as its default and answers an unknown union member with `none`. Raise the protocol
# version when the meaning of a message changes.

struct Update {
  # What a node knows about one member.
  id @0 :Text;
  start @1 :UInt64;
  counter @2 :UInt32;
  status @3 :UInt16;
  origin @4 :UInt32;
  address @5 :Text;
  zone @6 :Text;
}

struct Gossip {
  # Carried by each message.
  start @0 :UInt64;
  counter @1 :UInt32;
  revision @2 :UInt64;
  updates @3 :List(Update);
  # Since version 2. Zero: not known.
  viewDigest @4 :UInt64;
  configDigest @5 :UInt64;
}

struct PartRef {
  team @0 :Text;
  revision @1 :UInt64;
  bytes @2 :UInt32;
  removed @3 :Bool;
  hash @4 :Data;
}

struct Confirm {
  target @0 :Text;
  alive @1 :Bool;
}

struct PullIndex {
  after @0 :UInt64;
  cursor @1 :Text;
  # Since version 2: no pieces are wanted.
  bare @2 :Bool;
}

struct Changes {
  revision @0 :UInt64;
  after @1 :UInt64;
  parts @2 :List(PartRef);
  next @3 :Text;
  # Since version 2.
  pieces @4 :List(Piece);
}

struct Piece {
  # How a part's text differs from that of an earlier revision; base zero: from nothing.
  team @0 :Text;
  base @1 :UInt64;
  prefix @2 :UInt32;
  suffix @3 :UInt32;
  middle @4 :Data;
}

struct PullPart {
  team @0 :Text;
  revision @1 :UInt64;
  offset @2 :UInt32;
}

struct Chunk {
  part @0 :PartRef;
  offset @1 :UInt32;
  bytes @2 :Data;
}

struct Message {
  gossip @0 :Gossip;
  union {
    none @1 :Void;
    probe @2 :Text;
    ack @3 :Text;
    indirect @4 :Text;
    confirm @5 :Confirm;
    sync @6 :List(UInt64);
    members @7 :List(Update);
    query @8 :Void;
    announce @9 :UInt64;
    pullIndex @10 :PullIndex;
    changes @11 :Changes;
    pullPart @12 :PullPart;
    chunk @13 :Chunk;
  }
}

struct Member {
  # One run of an instance: the hash of its name, and when it started.
  id @0 :UInt64;
  incarnation @1 :UInt64;
}

struct Claim {
  # One try at an idempotency key.
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  claimant @2 :Member;
  seq @3 :UInt64;
  digest @4 :UInt64;
  account @5 :UInt64;
}

struct Record {
  # What is recorded of a key. No claimant: tries conflict.
  claim @0 :Claim;
  ageMs @1 :UInt64;
  state @2 :UInt16;
  status @3 :UInt16;
}

struct Mark {
  # Absent (seq zero): more records follow.
  seq @0 :UInt64;
  warm @1 :Bool;
  holdMs @2 :UInt64;
  lost @3 :List(Member);
  leaving @4 :Bool;
}

struct ServerEnd {
  # A server that ended under a request; ages in milliseconds.
  server @0 :UInt64;
  sentAgo @1 :UInt32;
  endedAgo @2 :UInt32;
  cleared @3 :Bool;
}

struct Suspicion {
  # A request under which servers ended.
  contentHigh @0 :UInt64;
  contentLow @1 :UInt64;
  ends @2 :List(ServerEnd);
}

interface Gate {
  # All that a connection gives before both ends have proved that they hold the key.
  hello @0 (minVersion :UInt16, maxVersion :UInt16, id :Text, start :UInt64, challenge :Data)
        -> (version :UInt16, challenge :Data);
  authenticate @1 (proof :Data) -> (proof :Data, id :Text, start :UInt64, session :Session);
}

interface Session {
  exchange @0 (message :Message) -> (message :Message);
  # Coordination. Numbers of votes, outcomes and states: see the readers in coordination/wire.rs.
  claim @1 (claim :Claim, group :UInt64) -> (vote :UInt16, status :UInt16, retryMs :UInt64);
  settle @2 (claim :Claim, outcome :UInt16, status :UInt16) -> ();
  transfer @3 (view :UInt64, entries :List(Record), mark :Mark) -> ();
  borrow @4 (account :UInt64, units :Float64, slots :UInt32, held :UInt32)
         -> (units :Float64, slots :UInt32);
  giveBack @5 (account :UInt64, kept :UInt32) -> ();
  # An instance of before answers that it isn't implemented, and goes by its own requests.
  # Suspicions are of parts of prompts, or of whole requests.
  suspect @6 (suspicions :List(Suspicion), parts :Bool) -> ();
}
