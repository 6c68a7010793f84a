@0xb7d2e4905c3a1f68;

struct GrantRequest {
  service @0 :Text;
  vm @1 :Text;
  domain @2 :Text;
  wanted @3 :UInt16;
}

struct GrantOffer {
  id @0 :UInt64;
  count @1 :UInt16;
  lifetimeMs @2 :UInt32;
  limit @3 :UInt32;
}

struct Level {
  service @0 :Text;
  level @1 :Float64;
}

struct LevelQuery {
  vm @0 :Text;
}

struct Levels {
  levels @0 :List(Level);
}
