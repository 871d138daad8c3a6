@0xd2c8f1a6b4e07395;
# Datagrams between entries. Fields are only added, never renumbered: during a rolling
# upgrade, entries of two releases decode each other's datagrams.

struct Envelope {
  keyId @0 :UInt8;
  signature @1 :Data;
  # First 16 bytes of the HMAC-SHA-256 of key id, destination address, destination port
  # and content.
  content @2 :Data;
  # A packed Content message, decoded only after the signature is verified.
}

struct Content {
  senderId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  message :union {
    admissionAsk @3 :AdmissionAsk;
    admissionGrant @4 :AdmissionGrant;
    admissionQueued @5 :AskReference;
    admissionRefusal @6 :AdmissionRefusal;
    askWithdrawn @7 :AskReference;
    progress @8 :Progress;
    progressAck @9 :ProgressAck;
    finished @10 :Finished;
    probe @11 :Probe;
    probeAck @12 :ProbeAck;
    indirectProbe @13 :IndirectProbe;
    moveOrder @14 :MoveOrder;
    moveReport @15 :MoveReport;
    failuresSeen @16 :FailuresSeen;
    leavingSeen @17 :LeavingSeen;
    backoffSeen @18 :BackoffSeen;
    crashesSeen @19 :CrashesSeen;
    placeKept @20 :PlaceKept;
    serviceLoad @21 :ServiceLoad;
    serviceShares @22 :ServiceShares;
  }
}

# Identifiers and hashes are Data. The first byte selects the encoding of the rest: 0 for
# UTF-8 text, 1 for the bytes of a hexadecimal text.

struct AskReference {
  requestId @0 :Data;
  attempt @1 :UInt32;
  cellId @2 :Text;
  loadPercent @3 :UInt32;
  # Set only in admissionQueued.
}

struct AdmissionAsk {
  requestId @0 :Data;
  attempt @1 :UInt32;
  cellId @2 :Text;
  group @3 :Text;
  account @4 :Text;
  rank @5 :Text;
  binding @6 :Text;
  fingerprint @7 :Data;
  promptTokens @8 :UInt32;
  maximumTokens @9 :UInt32;
  prefixBlocks @10 :List(Data);
  excludedUpstreamIds @11 :List(Text);
  deadline @12 :Float32;
  # Deadlines are sent as remaining seconds because the clocks of VMs differ.
  goalDeadline @13 :Float32;
  # Zero if there is no goal deadline.
}

struct AdmissionGrant {
  requestId @0 :Data;
  attempt @1 :UInt32;
  cellId @2 :Text;
  upstreamId @3 :Text;
  address @4 :Text;
  priority @5 :Int32;
  deadline @6 :Float32;
  takesShortProgress @7 :Bool;
  loadPercent @8 :UInt32;
}

struct AdmissionRefusal {
  requestId @0 :Data;
  attempt @1 :UInt32;
  cellId @2 :Text;
  code @3 :UInt16;
  retryAfter @4 :Float32;
}

struct RunningRequest {
  requestId @0 :Data;
  attempt @1 :UInt32;
  group @2 :Text;
  account @3 :Text;
  rank @4 :Text;
  binding @5 :Text;
  fingerprint @6 :Data;
  upstreamId @7 :Text;
  promptTokens @8 :UInt32;
  maximumTokens @9 :UInt32;
  tokenCount @10 :UInt32;
  prefixBlocks @11 :List(Data);
}

struct RunningCount {
  requestId @0 :Data;
  attempt @1 :UInt32;
  tokenCount @2 :UInt32;
}

struct Progress {
  cellId @0 :Text;
  running @1 :List(RunningRequest);
  waitingRequestIds @2 :List(Data);
  counts @3 :List(RunningCount);
}

struct ProgressAck {
  cellId @0 :Text;
  unknownRequestIds @1 :List(Data);
  knownRunningIds @2 :List(Data);
  unknownRunningIds @3 :List(Data);
  loadPercent @4 :UInt32;
}

struct Finished {
  requestId @0 :Data;
  attempt @1 :UInt32;
  cellId @2 :Text;
  tokenCount @3 :UInt32;
  complete @4 :Bool;
  upstreamFailed @5 :Bool;
  upstreamRefused @6 :Bool;
  began @7 :Bool;
}

struct MoveOrder {
  requestId @0 :Data;
  attempt @1 :UInt32;
  cellId @2 :Text;
  upstreamId @3 :Text;
  targetId @4 :Text;
  targetAddress @5 :Text;
  deadline @6 :Float32;
}

enum MoveOutcome {
  moved @0;
  notStarted @1;
  gone @2;
  failed @3;
}

struct MoveReport {
  requestId @0 :Data;
  attempt @1 :UInt32;
  cellId @2 :Text;
  upstreamId @3 :Text;
  outcome @4 :MoveOutcome;
}

struct UpstreamFailures {
  upstreamId @0 :Text;
  failureCount @1 :UInt32;
}

struct FailuresSeen {
  failures @0 :List(UpstreamFailures);
}

struct LeavingSeen {
  upstreamId @0 :Text;
  startedAt @1 :UInt64;
}

struct PlaceKept {
  group @0 :Text;
  account @1 :Text;
  fingerprint @2 :Data;
  # Times are remaining seconds; that of the arrival is negative.
  queuedAt @3 :Float32;
  goalDeadline @4 :Float32;
  deadline @5 :Float32;
}

struct BackoffSeen {
  upstreamId @0 :Text;
  deadline @1 :Float32;
}

struct AccountRate {
  account @0 :Text;
  priority @1 :Int32;
  callsPerSecond @2 :Float32;
}

struct ServerLoad {
  upstreamId @0 :Text;
  runningCount @1 :UInt32;
  answersPerSecond @2 :Float32;
  busySeconds @3 :Float32;
}

struct ServiceLoad {
  cellId @0 :Text;
  accounts @1 :List(AccountRate);
  servers @2 :List(ServerLoad);
}

struct AccountShare {
  account @0 :Text;
  priority @1 :Int32;
  share @2 :Float32;
}

struct ServiceShares {
  cellId @0 :Text;
  shares @1 :List(AccountShare);
}

enum MemberState {
  alive @0;
  suspect @1;
  leaving @2;
  left @3;
  dead @4;
  joining @5;
}

struct Member {
  nodeId @0 :Text;
  incarnation @1 :UInt64;
  state @2 :MemberState;
  address @3 :Text;
  peerPort @4 :UInt16;
  httpPort @5 :UInt16;
  zone @6 :Text;
  region @7 :Text;
  revision @8 :UInt64;
  configurationDigest @9 :Text;
  strength @10 :UInt8 = 1;
  # Entries of earlier releases do not send it.
}

struct Crash {
  fingerprint @0 :Data;
  upstreamIds @1 :List(Text);
  convicted @2 :Bool;
  deadline @3 :Float32;
  clearedIds @4 :List(Text);
}

struct CrashesSeen {
  crashes @0 :List(Crash);
}

struct Probe {
  sequence @0 :UInt32;
  members @1 :List(Member);
  crashes @2 :List(Crash);
}

struct ProbeAck {
  sequence @0 :UInt32;
  subjectId @1 :Text;
  members @2 :List(Member);
  crashes @3 :List(Crash);
}

struct IndirectProbe {
  sequence @0 :UInt32;
  subjectId @1 :Text;
  members @2 :List(Member);
}
