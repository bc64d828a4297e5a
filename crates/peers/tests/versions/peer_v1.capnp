@0xc3f1d2a96be05847;
# For tests alone: the protocol as a program of version 1 knows it. Never edit it to follow
# schema/peer.capnp; that the two differ is its use. How to generate: CONTRIBUTING.md.

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
}

struct Changes {
  revision @0 :UInt64;
  after @1 :UInt64;
  parts @2 :List(PartRef);
  next @3 :Text;
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
}

interface Gate {
  # All that a connection gives before both ends have proved that they hold the key.
  hello @0 (minVersion :UInt16, maxVersion :UInt16, id :Text, start :UInt64, challenge :Data)
        -> (version :UInt16, challenge :Data);
  authenticate @1 (proof :Data) -> (proof :Data, id :Text, start :UInt64, session :Session);
}

interface Session {
  exchange @0 (message :Message) -> (message :Message);
  claim @1 (claim :Claim, group :UInt64) -> (vote :UInt16, status :UInt16, retryMs :UInt64);
  settle @2 (claim :Claim, outcome :UInt16, status :UInt16) -> ();
}
