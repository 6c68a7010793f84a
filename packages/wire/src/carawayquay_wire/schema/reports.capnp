@0xd21f86c5a0b7e943;

struct Member {
  name @0 :Text;
  host @1 :Text;
  domain @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
}

struct TargetCount {
  target @0 :UInt32;
  running @1 :UInt16;
}

struct ServiceRate {
  service @0 :UInt32;
  rate @1 :Float32;
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
  targets @4 :List(TargetCount);
  rates @5 :List(ServiceRate);
  crashes @6 :List(CrashReport);
  members @7 :List(Member);
  warmed @8 :Data;
  watching @9 :Bool;
}
