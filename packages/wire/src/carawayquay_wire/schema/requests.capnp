@0xd3a1f0c8e5b74a21;

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct Forward {
  service @0 :Text;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  deadlineMs @5 :UInt32;
  key @6 :Text;
  home @7 :Text;
  purpose @8 :Text;
  attempt @9 :UInt16;
  grant @10 :UInt64;
  client @11 :Text;
}

struct Forwarded {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  target @3 :Text;
}

struct Refused {
  kind @0 :Text;
  detail @1 :Text;
}
