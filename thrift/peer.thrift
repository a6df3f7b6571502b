// Calls between hosts: Thrift compact protocol over a framed transport.
namespace cpp limpetlever.peer

enum RunState { NOT_RUN = 0, MAY_HAVE_RUN = 1, RAN = 2 }

struct AttemptId {
  1: i64 query
  2: i32 shard
  3: i32 ordinal
}

// One sub-query for one backend server. body_index is an index into the bodies of the batch, so that
// a body for many shards is sent once.
struct Attempt {
  1: AttemptId id
  2: string replica
  3: string workload
  4: i64 snapshot_version
  5: i32 body_index
  6: i32 time_limit_ms
  7: bool urgent
  8: i64 fingerprint
  // The caller's idempotency key; set only for a request that is not idempotent.
  9: optional string key
}

struct AttemptBatch {
  1: string coordinator
  2: list<binary> bodies
  3: list<Attempt> attempts
}

struct AttemptResult {
  1: AttemptId id
  2: string replica
  3: RunState state
  4: i32 error
  5: string detail
  6: binary body
  7: i64 snapshot_version
  8: i32 elapsed_us
  // The replica's current concurrency limit and its attempts in flight, as its owner counts them.
  9: i32 limit
  10: i32 in_flight
}

struct ResultBatch {
  1: string owner
  2: list<AttemptResult> results
}

struct CancelBatch {
  1: string coordinator
  2: list<AttemptId> ids
}

// A versioned value of the gossip map. Of two entries with the same key, the one with the greater
// (incarnation, version) wins.
struct GossipEntry {
  1: string key
  2: i64 incarnation
  3: i64 version
  4: binary value
}

struct GossipDigest {
  1: string key
  2: i64 incarnation
  3: i64 version
}

struct ExchangeRequest {
  1: string sender
  2: i64 incarnation
  3: list<GossipDigest> digest
  // Hash of the sender's whole digest. A request with an empty digest only compares hashes.
  4: i64 digest_hash
}

struct ExchangeReply {
  1: string sender
  2: i64 incarnation
  // Entries of which the answering host has a newer version.
  3: list<GossipEntry> entries
  // Keys of which the asking host has a newer version.
  4: list<string> wanted
  // Whether both hosts hold the same versions.
  5: bool is_equal
}

struct FreshnessReply {
  1: i64 view_epoch
  2: i64 table_version
  // Time since a read of the key-value service confirmed these versions; negative if none has.
  3: i64 age_us
  4: string sender
  5: i64 incarnation
  // Whether the answering host is a member of the view and has not closed its epoch.
  6: bool attests
}

struct SubmitRequest {
  1: string workload
  2: string key
  3: binary body
  4: i32 time_limit_ms
}

struct SubmitReply {
  1: RunState state
  2: i32 error
  3: string detail
  4: binary body
  5: string claim
}

service Peer {
  oneway void Attempts(1: AttemptBatch batch)
  oneway void Results(1: ResultBatch batch)
  oneway void Cancel(1: CancelBatch batch)
  oneway void Push(1: list<GossipEntry> entries)
  ExchangeReply Exchange(1: ExchangeRequest request)
  // Whether target answers a probe from the called host. An empty target, or the called host's own
  // name, stands for the called host itself. The called host also sends its newest member states to
  // asker.
  bool Probe(1: string target, 2: string asker)
  FreshnessReply Freshness()
  // From now on the called host attests no epoch up to this one. False if it is of another region.
  bool CloseEpoch(1: string region, 2: i64 epoch)
  // The host has released all replicas that it lost in this epoch.
  oneway void Release(1: string host, 2: i64 epoch)
  SubmitReply Submit(1: SubmitRequest request)
}
