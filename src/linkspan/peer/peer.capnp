@0xb3e7c1a95d20f846;
# Messages between linkspan processes. Field ids are only added, never reused.

struct Envelope {
  request @0 :UInt32;       # number that an answer shares with its request; 0 if no answer is expected
  union {
    heartbeat @1 :Heartbeat;
    submit @2 :Data;        # JSON of a JobSpec
    cancel @3 :Text;        # job id
    ask @4 :Text;           # job id
    answer @5 :Answer;
    fetchConfig @6 :Void;
    config @7 :Data;        # JSON of a ConfigState
    explain @8 :Text;       # job id
  }
}

struct Heartbeat {
  name @0 :Text;
  role @1 :Text;
  hall @2 :Text;
  address @3 :Text;
  applied @4 :UInt64;       # first ledger offset that the process has not applied
  config @5 :UInt64;        # configuration version in force
  unfit @6 :List(Text);     # workers assigned to a scheduler that must get no new work
  members @7 :List(Text);   # gateways among which a gateway divides the slots
  heard @8 :List(Heard);    # divisions of its peers that a gateway has received
  inFlight @9 :UInt32;
  draining @10 :Bool;
  callers @11 :Text;        # ip:port of a gateway's listener for callers
  serves @12 :List(Text);   # services for which a gateway has executors
}

struct Heard {
  name @0 :Text;
  division @1 :UInt64;
}

struct Answer {
  status @0 :Text;
  body @1 :Data;            # JSON
}
