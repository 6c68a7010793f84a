@0xb7e2f4a91c3d6850;

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct ClaimRecord {
  key @0 :Text;
  fingerprint @1 :Data;
  state @2 :Text;
  sequence @3 :UInt64;
  lifeMs @4 :UInt64;
  status @5 :UInt16;
  headers @6 :List(Header);
  body @7 :Data;
  target @8 :Text;
}

struct Replicate {
  domain @0 :Text;
  shard @1 :UInt16;
  epoch @2 :UInt64;
  vm @3 :Text;
  incarnation @4 :UInt64;
  filled @5 :Bool;
  completeSince @6 :UInt64;
  lossAgeMs @7 :Int64;
  records @8 :List(ClaimRecord);
}

struct Replicated {
  verdict @0 :Text;
  epoch @1 :UInt64;
}

struct HolderQuery {
  domain @0 :Text;
  version @1 :UInt64;
}

struct AssignmentEntry {
  epoch @0 :UInt64;
  primary @1 :Text;
  primaryIncarnation @2 :UInt64;
  backup @3 :Text;
  backupIncarnation @4 :UInt64;
  completeSince @5 :UInt64;
}

struct HolderAnswer {
  vm @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  version @3 :UInt64;
  change @4 :Text;
  shards @5 :List(AssignmentEntry);
}
