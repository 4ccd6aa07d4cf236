@0xd9b1f64f2c7a51e3;
# Records of a hall's ledger stream. Field ids are only added, never reused.

struct Record {
  writer @0 :Text;          # scheduler that appended it
  serial @1 :UInt32;        # sequence number among the writer's records, which identifies a record
  readOffset @2 :UInt64;    # first offset that the writer had not read
  decisions @3 :List(Decision);
  placed @4 :List(Placed);
  ended @5 :List(Ended);
}

struct Placed {
  job @0 :UInt32;
  index @1 :UInt16;
  attempt @2 :UInt16;
  worker @3 :UInt16;
}

struct Ended {
  job @0 :UInt32;
  index @1 :UInt16;
  attempt @2 :UInt16;
  outcome @3 :UInt8;
}

struct Decision {
  union {
    submitted @0 :Data;     # JSON of a JobSpec
    worker @1 :Data;        # JSON of a WorkerSpec
    cancelled @2 :Text;     # job id
    evicted @3 :Evicted;
    recalled @4 :Attempt;
    lapsed @5 :Attempt;
    resized @6 :Resized;
    joined @7 :Text;        # scheduler
    left @8 :Text;          # scheduler
    snapshot @9 :SnapshotPart;
    expelled @10 :Text;     # scheduler
    handedOver @11 :HandedOver;
    takenOver @12 :Data;    # JSON of a TakenOver
  }
}

struct Attempt {
  job @0 :UInt32;
  index @1 :UInt16;
  attempt @2 :UInt16;
}

struct Evicted {
  attempt @0 :Attempt;
  checkpoint @1 :Text;
  started @2 :Bool;
}

struct Resized {
  job @0 :UInt32;
  milliCpu @1 :UInt32;
  memoryMb @2 :UInt32;
  accelerators @3 :UInt16;
}

struct HandedOver {
  job @0 :UInt32;
  hall @1 :Text;
}

struct SnapshotPart {
  asOf @0 :UInt64;          # first offset that the snapshot does not contain
  part @1 :UInt16;
  parts @2 :UInt16;
  body @3 :Data;
}
