@0xd21f86c5a0b7e943;

struct Member {
  name @0 :Text;
  host @1 :Text;
  domain @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
}

struct CrashReport {
  fingerprint @0 :UInt64;
  crashes @1 :UInt8;
}

struct LoadReport {
  sender @0 :Member;
  sequence @1 :UInt64;
  leaving @2 :Bool;
  revisions @3 :List(UInt64);
  targets @4 :Data;
  rates @5 :Data;
  crashes @6 :List(CrashReport);
  members @7 :List(Member);
  warmed @8 :Data;
  watching @9 :Bool;
}
