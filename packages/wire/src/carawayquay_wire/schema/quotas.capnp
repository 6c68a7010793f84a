@0xe3b71a4c9d5f2086;

struct QuotaMessage {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  kind @3 :UInt8;  # 1 report, 2 grants, 3 demands
  complete @4 :Bool;  # of a report
  domain @5 :Text;  # of demands
  items @6 :Data;  # little-endian, by kind; see below
}

# Items of a report: hash of organisation, arrived and admitted requests (UInt32 each). Of grants:
# hash (UInt32), fraction to admit and share of the quota (UInt16 each, 65535 for 1). Of demands:
# hash (UInt32), requests per second and share of the quota (Float32 each).
