@0xc7f10b6e52a94d3b;

struct ListPosition {
  vm @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  confirmed @3 :UInt64;
  settled @4 :UInt64;
}

struct TargetWarmth {
  target @0 :Text;
  boot @1 :Text;
  percent @2 :UInt8;
}

struct LoanRequest {
  position @0 :ListPosition;
  sequence @1 :UInt64;
  wanted @2 :List(Text);
  returned @3 :List(Text);
  warmth @4 :List(TargetWarmth);
}

struct Loan {
  target @0 :Text;
  slots @1 :UInt16;
}

struct LoanReply {
  position @0 :ListPosition;
  loans @1 :List(Loan);
  warmth @2 :List(TargetWarmth);
}

struct SuspectReport {
  fingerprint @0 :Data;
  targets @1 :List(Text);
  crashes @2 :UInt16;
  quarantined @3 :Bool;
  lifeMs @4 :UInt32;
}

struct SuspectCleared {
  fingerprint @0 :Data;
}
