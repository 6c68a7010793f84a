@0xc7f2a91b34d8e650;

struct Digest {
  kind @0 :Text;
  name @1 :Text;
  seen @2 :UInt64;
  inForce @3 :UInt64;
}

struct StoredObject {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  value @3 :Data;
}

struct Pull {
  digests @0 :List(Digest);
  complete @1 :Bool;
}

struct Pulled {
  objects @0 :List(StoredObject);
  more @1 :Bool;
}
