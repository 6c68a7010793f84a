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

struct ReportedCrash {
  target @0 :UInt32;  # hash of target and incarnation
  beganMs @1 :UInt32;  # milliseconds ago, like endedMs
  endedMs @2 :UInt32;
}

struct SuspectReport {
  fingerprint @0 :UInt64;
  crashes @1 :List(ReportedCrash);
  completed @2 :Bool;
  completedMs @3 :UInt32;  # milliseconds ago, if completed
}

struct LoadReport {
  sender @0 :Member;
  sequence @1 :UInt64;
  leaving @2 :Bool;
  revisions @3 :List(UInt64);
  targets @4 :Data;  # little-endian pairs: hash of target (UInt32), requests in flight (UInt16)
  rates @5 :Data;  # little-endian pairs: hash of service (UInt32), requests per second (Float32)
  crashes @6 :List(CrashReport);
  members @7 :List(Member);
  warmed @8 :Data;  # little-endian pairs: hash of target (UInt32), hash of object key (UInt32)
  watching @9 :Bool;
  asking @10 :Bool;
  limits @11 :Data;  # see TargetLimitReport
  limitsReported @12 :Bool;
  era @13 :UInt32;
  version @14 :UInt64;
  cutOff @15 :Bool;
  confirmedMs @16 :List(UInt32);  # see LoadReport.confirmed_ms, by kind like revisions
  capacity @17 :UInt32;  # requests per second
  suspects @18 :List(SuspectReport);
  suspectOrganisations @19 :List(UInt32);  # by suspect: hash of its organisation, 0 without one
}

struct DomainSummary {
  sender @0 :Member;
  sequence @1 :UInt64;
  revisions @2 :List(UInt64);
  vms @3 :UInt32;
  members @4 :List(Member);
  targets @5 :Data;  # little-endian pairs: hash of target (UInt32), requests in flight (UInt16)
  rates @6 :Data;  # little-endian pairs: hash of service (UInt32), requests per second (Float32)
  crashes @7 :List(CrashReport);
  warmed @8 :Data;  # little-endian pairs: hash of target (UInt32), hash of object key (UInt32)
  limits @9 :Data;  # see TargetLimitReport
  limitsReported @10 :Bool;
  era @11 :UInt32;
  version @12 :UInt64;
  suspects @13 :List(SuspectReport);
  suspectOrganisations @14 :List(UInt32);  # see LoadReport
}

# Items of limits are little-endian: hash of target and incarnation (UInt32), limit in requests per
# second (Float32, -1 if it ended), age in units of 10 ms (UInt16), demand in requests per second
# (Float16). A message without limitsReported comes from a version that does not report them.
