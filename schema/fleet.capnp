@0xd1f0a7c39be4526f;

# Bootstrap capability of every peer and control port, reachable only after both sides have
# proved the fleet secret. A role that the process does not serve is null.
interface Gate {
  enter @0 (host :Text) -> (control :Control, peer :Peer);
}

# Configuration changes after a revision, or the complete state when the receiver is too far
# behind. Documents are JSON of the types in persimmonbend-core.
struct Update {
  revision @0 :UInt64;
  union {
    changes @1 :List(Data);
    snapshot @2 :Data;
  }
}

# Tokens of one account that a holder (a proxy that spends tokens) requests, returns and still
# holds.
struct Ask {
  tenant @0 :Text;
  # Service whose default rate applies; empty if the tenant has its own rate.
  service @1 :Text;
  # Requests that wait for a token.
  waiting @2 :UInt32;
  # Tokens requested for future requests.
  ahead @3 :UInt32;
  # Unspent tokens of the latest grant that are returned.
  returned @4 :UInt32;
  # Tokens that the holder keeps; granted tokens that are neither kept nor returned count as spent.
  held @5 :UInt32;
}

# The time of a reply on the clock of its issuer, the control replica that leads the term.
struct IssueStamp {
  term @0 :UInt64;
  sinceStartUs @1 :UInt64;
}

# A message from a holder with the requests of its accounts; sent again unchanged until it is
# answered.
struct Batch {
  group @0 :UInt32;
  host @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  # Time of the last reply that the holder received; null before the first reply.
  echo @4 :IssueStamp;
  # Whether the asks list all held tokens, for the issuer of the term `wholeTerm`.
  whole @5 :Bool;
  wholeTerm @6 :UInt64;
  asks @7 :List(Ask);
}

struct Grant {
  tokens @0 :UInt32;
  retryAfterUs @1 :UInt32;
}

# The answer to a batch; `grants` holds one grant for each ask, in the same order.
struct Grants {
  stamp @0 :IssueStamp;
  seated @1 :Bool;
  seat @2 :UInt32;
  seats @3 :UInt32;
  opensInUs @4 :UInt32;
  grants @5 :List(Grant);
}

struct Claim {
  group @0 :UInt32;
  tenant @1 :Text;
  # Service and route, joined by a slash.
  route @2 :Text;
  key @3 :Text;
  # Digest of method, target and body.
  request @4 :Data;
  host @5 :Text;
  # Random number of the execution, never reused.
  attempt @6 :UInt64;
  # Time after which the outcome counts as unknown if the owner has not reported one.
  patienceMs @7 :UInt32;
}

struct Verdict {
  union {
    # The caller of `claim` owns the execution.
    fresh @0 :Void;
    # The stored answer of the one execution, as JSON.
    done @1 :Data;
    # Another owner runs the request.
    running @2 :Void;
    # The key was used for another request.
    mismatch @3 :Void;
    # The request may have run before.
    unknown @4 :Void;
    # The request ran before and its answer is not kept.
    gone @5 :Void;
    # There is no room for another record.
    full @6 :Void;
    # The attempt was released before.
    lapsed @7 :Void;
  }
}

# Served by a control replica. Calls other than `ping`, `replicate`, `status`
# and `dump` fail with the error text "not leader: ADDRESS" on a follower.
interface Control {
  ping @0 () -> (leader :Bool, hint :Text);
  # `peers` is the address at which the host accepts calls of its peers, `zone` its zone; `book`
  # lists the addresses of some other hosts that called recently.
  watch @1 (host :Text, since :UInt64, waitMs :UInt32, peers :Text, zone :Text) -> (update :Update, book :List(Text));
  submit @2 (submission :Data) -> (outcome :Data);
  grant @3 (batch :Batch) -> (grants :Grants);
  # Waits at most `waitMs` while another owner runs the request.
  claim @4 (claim :Claim, waitMs :UInt32) -> (verdict :Verdict);
  # The outcome is JSON.
  complete @5 (claim :Claim, outcome :Data) -> ();
  # Frees the quota seat of a host that is stopping.
  vacate @6 (host :Text, incarnation :UInt64) -> ();
  replicate @7 (message :Data) -> (reply :Data);
  status @8 () -> (report :Data);
  dump @9 () -> (state :Data);
  snapshot @10 () -> (revision :UInt64, state :Data);
  # Adds, promotes or removes a replica; the order is JSON.
  members @11 (order :Data) -> ();
}

# Served by a proxy to its peers, to pb-ctl and to pb-console; control serves `explain` of it.
interface Peer {
  ping @0 () -> ();
  gossip @1 (message :Data) -> (reply :Data);
  update @2 (since :UInt64) -> (update :Update);
  withdraw @3 (digest :Data, operator :Text) -> ();
  explain @4 (query :Data) -> (report :Data);
  dump @5 () -> (state :Data);
  status @6 () -> (report :Data);
  order @7 (order :Data) -> (outcome :Data);
  # Spends a token of this host for a request of another host that cannot reach the issuer. An
  # empty service means that the tenant has its own rate.
  lend @8 (tenant :Text, service :Text) -> (lent :Bool);
}

# Announcement of a host, as spread by gossip.
struct HostRecord {
  id @0 :Text;
  zone @1 :Text;
  peers @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  stopping @5 :Bool;
  lapsed @6 :Bool;
}

# Announcement of an upstream, as spread by gossip.
struct UpstreamRecord {
  id @0 :Text;
  service @1 :Text;
  zone @2 :Text;
  address @3 :Text;
  slots @4 :UInt32;
  stage @5 :UInt8;
  lapsed @6 :Bool;
  incarnation @7 :UInt64;
  sequence @8 :UInt64;
}

# Key and version of one record, without its contents; the key is a hash of the name.
struct Mark {
  key @0 :UInt64;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  lapsed @3 :Bool;
}

# Time since the last contact with a host, direct or through other hosts.
struct Stamp {
  key @0 :UInt64;
  ageMs @1 :UInt32;
}

# One gossip message, carried in packed form by `Peer.gossip`.
struct Gossip {
  from @0 :HostRecord;
  revision @1 :UInt64;
  # Hashes of all records and of the withdrawals; both 0 if no comparison is wanted.
  view @2 :UInt64;
  withdrawals @3 :UInt64;
  compare @4 :Bool;
  buckets @5 :List(UInt32);
  compared @6 :List(UInt16);
  marks @7 :List(Mark);
  wants @8 :List(UInt64);
  hosts @9 :List(HostRecord);
  upstreams @10 :List(UpstreamRecord);
  renewals @11 :List(Mark);
  doubts @12 :List(Mark);
  withdrawn @13 :List(Data);
  # Whether all withdrawals that the sender holds fit into one message.
  whole @14 :Bool;
  stamps @15 :List(Stamp);
}

# One frame of the slot protocol, packed and preceded by its length in two bytes. Names of
# services, tenants and upstreams are sent once per connection and direction in `name` frames and
# are numbers after that; 0 stands for no name.
struct SlotFrame {
  # Number of the reservation, or of the name that a `name` frame defines.
  number @0 :UInt32;
  # Values whose meaning depends on the kind; see the slots module of persimmonbend-wire.
  first @1 :UInt32;
  second @2 :UInt32;
  third @3 :UInt32;
  kind @4 :Kind;
  code @5 :UInt8;
  flag @6 :Bool;
  text @7 :Text;
  list @8 :List(UInt32);

  enum Kind {
    hello @0;
    name @1;
    reserve @2;
    granted @3;
    queued @4;
    refused @5;
    hold @6;
    release @7;
    ping @8;
    pong @9;
    advice @10;
  }
}
