@0xa94c2be16d0f8e37;

struct Digest {
  kind @0 :Text;
  name @1 :Text;
  seen @2 :UInt64;
  inForce @3 :UInt64;
}

struct Load {
  service @0 :Text;
  free @1 :UInt16;
  limit @2 :UInt16;
}

struct Heartbeat {
  vm @0 :Text;
  domain @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  listVersion @4 :UInt64;
  leaving @5 :Bool;
  loads @6 :List(Load);
  receiver @7 :Text;
  summary @8 :UInt64;
  newest @9 :UInt64;
  recent @10 :List(Digest);
  confirmedAgeMs @11 :UInt32;
  storeFailed @12 :Bool;
  sightings @13 :Data;
}
