"""Recomputes the tables of docs/CAPACITY.md from measured slopes. Called by scripts/capacity."""
import argparse
import dataclasses
import json
import math
import re

# Bounds of the design page, section 1: control per node.
CPU_LIMIT = 0.043
MEMORY_LIMIT = 32e6
BYTES_LIMIT = 11_000.0
# Section 3: a value of the key-value service, and its rates.
VALUE_LIMIT = 1_048_576.0
READ_LIMIT = 1000.0
WRITE_LIMIT = 40.0
# src/limpetlever/transport/peer_server.cc, src/liblimpetlever/settings/host_settings.h.
FRAME_LIMIT = 8 * 1024 * 1024.0
BACKEND_THREADS = 128.0
HTTP_THREADS = 64.0
CORES = 10.0

# Estimates, each of them listed on the page.
MESSAGE_BYTES = 120.0  # frame, message name, sender and TCP/IP headers; as in bench/control_cost.cc
ATTEMPT_S = 0.005  # mean time of an attempt at a backend server
QUERY_S = 0.020  # mean time of a query
RACK_HOSTS = 40.0
# Together the value of control_bytes_per_s_2500_hosts (seed 1), 10,597 B/s, minus 4,042 of edits and 960 of freshness.
PROBE_BYTES = 960.0  # two probes a second as prober and two as target, without membership updates
UPDATE_BYTES = 4635.0  # membership updates; upper bound at 2,500 hosts
# Threads of all pools of a host: tasks 48, peer service 96, sends 8, claim partitions 16, submissions 64,
# attempts 128, side calls 16.
FIXED_THREADS = 376.0
BUSY_SHARE = 1.0  # share of the slots of the fan-out services that is busy today


@dataclasses.dataclass(frozen=True)
class Size:
    name: str
    hosts: float
    regions: float
    centres: float
    replicas: float
    queries: float
    shards: float
    edits_day: float
    changes_day: float

    @property
    def members(self):
        return self.hosts / self.regions

    @property
    def replicas_per_host(self):
        return self.replicas / self.hosts

    @property
    def attempts(self):
        """Attempts a second and host, as coordinator and again as owner."""
        return self.queries * self.shards / self.hosts

    @property
    def edits(self):
        return self.edits_day / 86400

    @property
    def view_changes(self):
        """Leaves and joins a second, all regions."""
        return 2 * self.changes_day / 86400

    @property
    def status_pushes(self):
        """Statuses a second that each host receives: an owner that gains or loses a replica sends one to all hosts."""
        return self.view_changes * min(self.replicas_per_host, max(self.members - 1, 0))

    def scaled(self, factor):
        return dataclasses.replace(self, hosts=self.hosts * factor, replicas=self.replicas * factor, queries=self.queries * factor,
                                   edits_day=self.edits_day * factor, changes_day=self.changes_day * factor)


def current_size(name, centres, replicas):
    host_share, row_share = 15 / 2500, replicas / 100_000
    slots = 20 * 2 * 2
    return Size(name, 15, 1, centres, replicas, BUSY_SHARE * slots / ATTEMPT_S / 20, 20, 59_000 * row_share,
                (8700 + 170) * host_share)


TARGET = Size("design size", 2500, 7, 17, 100_000, 2.5e6, 87, 59_000, 8700 + 170)
SIZES = [TARGET, current_size("co-operative", 4, 20 * 2 + 30 * 2 + 7 + 4), current_size("Tinig", 3, 20 * 2 + 30 * 2 + 20 + 9)]

# key: (benchmark, quantity, item, unit on the page, factor to that unit, smallest size of the fit).
# Small sizes, at which the constant part dominates, are left out where the page needs the slope of large sizes.
SLOPES = {
    "fan_out": ("FanOutQuery", "cpu", "shard", "µs", 1e6, 0),
    "admission": ("OwnedReplicaAttempts", "cpu", "attempt", "µs", 1e6, 0),
    "http_call": ("BackendCalls", "cpu", "attempt", "µs", 1e6, 0),
    "attempts_cpu": ("AttemptBatchRoundTrip", "cpu", "attempt", "µs", 1e6, 0),
    "attempts_bytes": ("AttemptBatchRoundTrip", "bytes", "attempt", "B", 1, 0),
    "results_cpu": ("ResultBatchRoundTrip", "cpu", "result", "µs", 1e6, 0),
    "results_bytes": ("ResultBatchRoundTrip", "bytes", "result", "B", 1, 0),
    "thread_memory": ("WaitingThreads", "memory", "thread", "KB", 1e-3, 0),
    "tracker_cpu": ("MemberTrackerSecond", "cpu", "member", "µs", 1e6, 0),
    "tracker_memory": ("MemberTrackerSecond", "memory", "member", "B", 1, 100),
    "members_copy": ("MembersCopy", "cpu", "member", "µs", 1e6, 0),
    "owner_index_cpu": ("OwnerIndexBuild", "cpu", "replica", "µs", 1e6, 0),
    "owner_index_memory": ("OwnerIndexBuild", "memory", "replica", "B", 1, 1000),
    "parse_cpu": ("ParseTable", "cpu", "row", "µs", 1e6, 0),
    "table_bytes": ("ParseTable", "bytes", "row", "B", 1, 0),
    "table_memory": ("ParseTable", "memory", "row", "B", 1, 100),
    "table_in_force": ("TableInForce", "cpu", "row", "µs", 1e6, 0),
    "selector": ("TableChangePerReplica", "cpu", "row", "µs", 1e6, 100),
    "routing_memory": ("RoutingSnapshotBuild", "memory", "replica", "B", 1, 100),
    "status_in_force": ("StatusInForce", "cpu", "replica", "µs", 1e6, 0),
    "status_cpu": ("StatusText", "cpu", "replica", "µs", 1e6, 0),
    "status_bytes": ("StatusText", "bytes", "replica", "B", 1, 0),
    "view_cpu": ("ViewText", "cpu", "member", "µs", 1e6, 0),
    "view_bytes": ("ViewText", "bytes", "member", "B", 1, 0),
    "digest_cpu": ("DigestMessage", "cpu", "entry", "µs", 1e6, 0),
    "digest_bytes": ("DigestMessage", "bytes", "entry", "B", 1, 0),
    "compare_cpu": ("GossipCompare", "cpu", "entry", "µs", 1e6, 0),
    "claim_cpu": ("ClaimJournalText", "cpu", "record", "µs", 1e6, 0),
    "claim_bytes": ("ClaimJournalText", "bytes", "record", "B", 1, 0),
    "claim_memory": ("ClaimJournalText", "memory", "record", "B", 1, 0),
    "event_cpu": ("EventRecords", "cpu", "event", "µs", 1e6, 0),
    "event_memory": ("EventRecords", "memory", "event", "B", 1, 0),
}
UNITS = {"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1.0}


@dataclasses.dataclass(frozen=True)
class Fit:
    """y = constant + slope * x, fitted to the relative error, so that each decade of sizes has the same weight."""

    constant: float
    slope: float
    residual: float
    min_size: float
    max_size: float

    def __call__(self, x):
        return max(self.constant, 0.0) + self.slope * x


def fit(points):
    sw = sx = sy = sxx = sxy = 0.0
    for x, y in points:
        w = 1 / (y * y)
        sw, sx, sy, sxx, sxy = sw + w, sx + w * x, sy + w * y, sxx + w * x * x, sxy + w * x * y
    slope = (sw * sxy - sx * sy) / (sw * sxx - sx * sx)
    constant = (sy - slope * sx) / sw
    residual = max(abs(constant + slope * x - y) / y for x, y in points)
    return Fit(constant, slope, residual, points[0][0], points[-1][0])


def read_fits(path):
    with open(path, encoding="utf-8") as file:
        data = json.load(file)
    smallest = {}
    for run in data["benchmarks"]:
        if run.get("run_type") == "aggregate":
            continue
        family, size = run["name"].split("/")[:2]
        scale = UNITS[run["time_unit"]]
        for quantity, value in (("cpu", run["cpu_time"] * scale), ("memory", run.get("memory", 0)),
                                ("bytes", run.get("bytes", 0))):
            if value > 0:
                key = (family, quantity)
                points = smallest.setdefault(key, {})
                points[float(size)] = min(points.get(float(size), math.inf), value)
    fits = {}
    for key, (family, quantity, _, _, _, min_size) in SLOPES.items():
        points = sorted((x, y) for x, y in smallest[(family, quantity)].items() if x >= min_size)
        fits[key] = fit(points)
    return fits, data["context"]


@dataclasses.dataclass(frozen=True)
class Line:
    quantity: str
    value: object
    unit: str
    mechanism: str
    place: str
    limit: float = math.inf
    estimate: str = ""


def lines_by_role(f):
    """Lines of the page by role, from the fits `f`; `value` of a line takes a Size."""
    table = lambda s: f["table_bytes"](s.replicas)
    adopt_table_s = lambda s: (f["parse_cpu"](s.replicas) + f["table_in_force"](s.replicas) + f["owner_index_cpu"](s.replicas)
                          + f["selector"](s.replicas))
    status = lambda s: f["status_bytes"](s.replicas_per_host)
    server, lib = "src/limpetlever/server/", "src/liblimpetlever/"
    return {
        "Giving out addresses": [
            Line("state: members held", lambda s: s.hosts, "members", "membership", lib + "membership/member_tracker.cc"),
            Line("memory of the members", lambda s: f["tracker_memory"](s.hosts), "B", "membership",
                 lib + "membership/member_tracker.cc", MEMORY_LIMIT),
            Line("processor time per answer: copy of the members and an HTTP exchange",
                 lambda s: f["members_copy"](s.hosts) + f["http_call"].slope, "s", "advice over all live members",
                 lib + "membership/address_advice.cc", estimate="the HTTP server costs as much as the client"),
            Line("answers a second that take 1% of a core", lambda s: 0.01 / (f["members_copy"](s.hosts) + f["http_call"].slope),
                 "1/s", "10 s lifetime of the answer", server + "http_api.cc", estimate="as above"),
        ],
        "Coordinating queries": [
            Line("queries a second", lambda s: s.queries / s.hosts, "1/s", "callers spread by advice", server + "coordinator.cc"),
            Line("sub-queries a second, out and in", lambda s: s.attempts, "1/s", "batches per owner", server + "coordinator.cc"),
            Line("bytes a second, out and in", lambda s: s.attempts * (f["attempts_bytes"].slope + f["results_bytes"].slope
                 + f["attempts_bytes"].constant * min(1, s.members / s.shards)), "B/s", "one body per batch",
                 "thrift/peer.thrift", estimate="200 B per query body, 500 B per answer"),
            Line("processor time: fan-out", lambda s: s.queries / s.hosts * f["fan_out"](s.shards), "cores", "two random candidates",
                 lib + "routing/fan_out.cc", CORES),
            Line("processor time: encode attempts, decode results", lambda s: s.attempts / 2 * (f["attempts_cpu"](1)
                 + f["results_cpu"](1)), "cores", "Thrift compact", "src/limpetlever/transport/peer_codec.cc", CORES,
                 estimate="one attempt per message; half of each round trip"),
            Line("processor time: events", lambda s: (2 * s.queries / s.hosts) * f["event_cpu"].slope, "cores",
                 "ring of 8,192", lib + "events/event_log.cc", CORES),
            Line("share of time in which the coordinator's lock is held", lambda s: s.queries / s.hosts * f["fan_out"](s.shards),
                 "share", "one lock over selector and plans", server + "coordinator.cc", 0.5),
            Line("queries a second at which the lock is never free", lambda s: 1 / f["fan_out"](s.shards), "1/s",
                 "one lock over selector and plans", server + "coordinator.cc", estimate="no cost of contention"),
            Line("caller threads that wait", lambda s: s.queries / s.hosts * QUERY_S, "threads", "one thread per connection",
                 server + "http_server.cc", HTTP_THREADS, estimate=f"{QUERY_S * 1000:.0f} ms mean query; 170 at 170 ms"),
        ],
        "Owning replicas": [
            Line("state: replicas owned", lambda s: s.replicas_per_host, "replicas", "rendezvous ownership", lib + "ownership/owner_index.cc"),
            Line("attempts a second", lambda s: s.attempts, "1/s", "batches", server + "replica_owner.cc"),
            Line("attempts a second and replica", lambda s: s.attempts / s.replicas_per_host, "1/s", "replica limiter",
                 lib + "limits/owned_replica.cc"),
            Line("longest mean attempt that 2 slots carry", lambda s: 2 / (s.attempts / s.replicas_per_host), "s", "replica limiter",
                 lib + "limits/replica_limiter.cc"),
            Line("processor time: admission", lambda s: s.attempts * f["admission"].slope, "cores", "admission queue",
                 lib + "limits/owned_replica.cc", CORES),
            Line("processor time: HTTP to backend servers", lambda s: s.attempts * f["http_call"].slope, "cores",
                 "kept-alive connections", "src/limpetlever/transport/backend_client.cc", CORES),
            Line("processor time: decode attempts, encode results", lambda s: s.attempts / 2 * (f["attempts_cpu"](1)
                 + f["results_cpu"](1)), "cores", "Thrift compact", "src/limpetlever/transport/peer_codec.cc", CORES,
                 estimate="one attempt per message; half of each round trip"),
            Line("processor time: events", lambda s: s.attempts * f["event_cpu"].slope, "cores", "ring of 8,192",
                 lib + "events/event_log.cc", CORES, estimate="one event per attempt"),
            Line("threads that wait for backend servers", lambda s: s.attempts * ATTEMPT_S, "threads",
                 "one thread per attempt in flight", server + "replica_owner.cc", BACKEND_THREADS,
                 estimate=f"{ATTEMPT_S * 1000:.0f} ms mean attempt"),
            Line("attempts a second that these threads carry", lambda s: BACKEND_THREADS / ATTEMPT_S, "1/s",
                 "one thread per attempt in flight", server + "replica_owner.cc", estimate="5 ms mean attempt"),
            Line("the same when attempts take 170 ms", lambda s: BACKEND_THREADS / 0.170, "1/s",
                 "one thread per attempt in flight", server + "replica_owner.cc"),
            Line("memory of these threads", lambda s: s.attempts * ATTEMPT_S * f["thread_memory"].slope, "B",
                 "one thread per attempt in flight", server + "replica_owner.cc", estimate="as above"),
            Line("control: polls and status text", lambda s: 2 * s.replicas_per_host * f["http_call"].slope + 2 * f["status_cpu"](s.replicas_per_host) / 2,
                 "cores", "poll of 500 ms", server + "control_loop.cc, PollReplicas", CPU_LIMIT,
                 estimate="a poll costs as much as a call"),
            Line("control: bytes a second of statuses sent", lambda s: s.status_pushes * (status(s)
                 + MESSAGE_BYTES), "B/s", "whole status of an owner to every host", server + "control_loop.cc, PublishStatuses",
                 BYTES_LIMIT, estimate="one change per owner and view change"),
        ],
        "Owning key partitions": [
            Line("partitions owned, mean", lambda s: 16 / s.members, "partitions", "rendezvous over the view",
                 server + "submission_service.cc"),
            Line("threads", lambda s: 16, "threads", "one thread per partition", server + "claim_partition.cc"),
            Line("writes a second at the key-value service, all partitions", lambda s: 160, "1/s", "batches 100 ms apart",
                 lib + "claims/partition_journal.h", 160),
            Line("largest size of a value", lambda s: 384 * 1024 + 256 * 1024, "B", "sealed segments",
                 lib + "claims/partition_journal.h", VALUE_LIMIT),
            Line("processor time of a partition that writes 10 times a second, value at 384 KB",
                 lambda s: 10 * f["claim_cpu"](384 * 1024 / f["claim_bytes"].slope) / 2, "cores", "whole value per write",
                 lib + "claims/claim_journal.cc", CORES, estimate="half of write and read; 200 B of result"),
            Line("pledges a day whose segments fill 32 MB on a host that reads all partitions",
                 lambda s: MEMORY_LIMIT / f["claim_memory"].slope, "1/day", "segments cached for 24 h",
                 lib + "claims/partition_journal_impl.h", estimate="200 B of result"),
        ],
        "Watching the key-value service": [
            Line("reads a second, all watchers", lambda s: 2 * s.centres * (2 / 0.4 + 1 / 5 + s.edits), "1/s",
                 "two watchers per data centre", server + "ownership_service.cc, VerifyWithStore", READ_LIMIT),
            Line("writes a second, without claims", lambda s: s.edits + s.view_changes, "1/s", "views by compare-and-swap",
                 server + "ownership_service.cc, CommitFor", WRITE_LIMIT),
            Line("size of the value `table`", table, "B", "one value", lib + "table/table_json.cc", VALUE_LIMIT),
            Line("size of the value `views/<region>`", lambda s: f["view_bytes"](s.members), "B", "four views in one value",
                 server + "gossip_codec.cc, FormatOwnershipViews", VALUE_LIMIT),
            Line("bytes a second of tables read", lambda s: 2 * s.edits * table(s), "B/s", "watch and lease check both read it",
                 server + "control_loop.cc, WatchTable", BYTES_LIMIT),
            Line("bytes a second of views read", lambda s: s.view_changes / s.regions * f["view_bytes"](s.members), "B/s",
                 "a value is sent only when it has changed", server + "ownership_service.cc", BYTES_LIMIT),
            Line("bytes a second of freshness answers", lambda s: max(s.hosts / s.centres - 1, 0) / 0.4 * 2 * MESSAGE_BYTES,
                 "B/s", "each host asks both watchers every 0.4 s", server + "ownership_service.cc, RequestFreshness", BYTES_LIMIT,
                 estimate=f"{MESSAGE_BYTES:.0f} B per message"),
            Line("processor time: read tables", lambda s: 2 * s.edits * f["parse_cpu"](s.replicas), "cores",
                 "the whole table is parsed twice", server + "control_loop.cc, WatchTable", CPU_LIMIT),
        ],
        "Relaying the table": [
            Line("bytes a second, sent and received", lambda s: s.edits * 2 * min(8, s.hosts - 1) * table(s), "B/s",
                 "push of the whole table to 8", server + "control_loop.cc, Execute", BYTES_LIMIT),
            Line("one message", table, "B", "Thrift frame of at most 8 MB", "src/limpetlever/transport/peer_server.cc", FRAME_LIMIT),
            Line("processor time: parse, owners, routing, selector", lambda s: s.edits * adopt_table_s(s), "cores",
                 "everything is rebuilt at each version", server + "cluster_state.cc, AdoptTable", CPU_LIMIT),
            Line("time from receipt of a table to its use on one host", adopt_table_s, "s", "as above", server + "cluster_state.cc", 4.0),
        ],
        "Ordinary member": [
            Line("processor time: probes", lambda s: f["tracker_cpu"](s.hosts), "cores", "one probe per 500 ms",
                 lib + "membership/member_tracker.cc", CPU_LIMIT),
            Line("processor time: copies of the members (20 ms, 50 ms, 400 ms, 500 ms)",
                 lambda s: (50 + 20 + 2.5 + 2) * f["members_copy"](s.hosts), "cores", "timers copy all members",
                 server + "control_loop.cc, WatchTable and DistributeTable", CPU_LIMIT),
            Line("processor time: statuses of others", lambda s: s.status_pushes * (f["status_cpu"](s.replicas_per_host) / 2
                 + f["status_in_force"](s.replicas)), "cores", "routing is rebuilt whole at each status",
                 server + "cluster_state.cc, SetReplicaStatuses", CPU_LIMIT, estimate="rate of changes; beyond 10,000 replicas"),
            Line("processor time: views", lambda s: s.view_changes / s.regions * (f["view_cpu"](s.members)
                 + 2 * f["owner_index_cpu"](s.replicas)), "cores", "all owners are ranked again", lib + "ownership/owner_index.cc",
                 CPU_LIMIT),
            Line("processor time: digests", lambda s: min(1, s.status_pushes) * 4 * (f["digest_cpu"](s.hosts)
                 + f["compare_cpu"](s.hosts)) / 2, "cores", "digest whole when hashes differ",
                 server + "control_loop.cc, ExchangeWith", CPU_LIMIT, estimate="hashes differ for a second after each change"),
            Line("bytes a second: probes and membership updates", lambda s: PROBE_BYTES + UPDATE_BYTES * s.hosts / 2500, "B/s",
                 "bounded number of updates on each probe", lib + "membership/member_tracker.cc", BYTES_LIMIT,
                 estimate="updates in proportion to hosts"),
            Line("bytes a second: statuses of others", lambda s: s.status_pushes * (status(s) + MESSAGE_BYTES), "B/s",
                 "whole status of an owner to every host", server + "control_loop.cc, PublishStatuses", BYTES_LIMIT,
                 estimate="one change per owner and view change"),
            Line("bytes a second: digests", lambda s: min(1, s.status_pushes) * 4 * f["digest_bytes"](s.hosts) + 4 * 2
                 * MESSAGE_BYTES, "B/s", "digest whole when hashes differ", server + "control_loop.cc, ExchangeWith",
                 BYTES_LIMIT, estimate="hashes differ for a second after each change"),
            Line("bytes a second: views", lambda s: s.view_changes * f["view_bytes"](s.members), "B/s",
                 "four views of each region by gossip", server + "ownership_service.cc, AdoptLocked", BYTES_LIMIT),
            Line("bytes a second: freshness requests", lambda s: 2 / 0.4 * 2 * MESSAGE_BYTES, "B/s", "two watchers asked",
                 server + "ownership_service.cc, RequestFreshness", BYTES_LIMIT, estimate=f"{MESSAGE_BYTES:.0f} B per message"),
            Line("memory: table, its text, routing, two owner indexes, members, statuses, events, fixed threads",
                 lambda s: s.replicas * (f["table_memory"].slope + f["table_bytes"].slope + f["routing_memory"].slope
                 + 2 * f["owner_index_memory"].slope + 2 * f["status_bytes"].slope) + f["tracker_memory"](s.hosts)
                 + f["event_memory"](8192) + FIXED_THREADS * f["thread_memory"].slope, "B", "every host holds all rows", server + "cluster_state.cc", MEMORY_LIMIT,
                 estimate="a status in memory takes its text twice; without claim segments"),
        ],
    }


def failure_rows(f, s):
    """Rows (event, effect, cost) of the failures of a day at one size."""
    rebuild = f["status_in_force"](s.replicas)
    owners_reporting = lambda lost: min(lost * s.replicas_per_host, s.members)
    request_bytes = s.members / 1.3 * 2 * 2 * MESSAGE_BYTES
    rows = []
    failed = s.changes_day * 170 / 8870
    rows.append((f"{failed:.3g} failed hosts a day", f"{failed * s.replicas_per_host:.4g} replicas a day are unused for the lease term and the "
                 "longest attempt (4.95 s, design 5.1) after the failure is detected",
                 f"{failed * s.replicas_per_host * 4.95 / s.replicas / 86400 * 1e6:.2g} millionths of all replica time; the other replica of a shard serves"))
    rows.append((f"{s.changes_day - failed:.4g} restarts a day", f"{s.view_changes:.2g} view writes a second",
                 f"{s.status_pushes:.2g} statuses a second reach each host: {format_value(s.status_pushes * rebuild, 'cores')}"))
    for name, hosts in ((f"rack lost ({min(RACK_HOSTS, s.hosts / s.centres):.3g} hosts, E)", min(RACK_HOSTS, s.hosts / s.centres)),
                        (f"data centre lost ({s.hosts / s.centres:.3g} hosts)", s.hosts / s.centres)):
        rows.append((name, f"{hosts * s.replicas_per_host:.4g} replicas lose their owner; at least {owners_reporting(hosts):.3g} owners report",
                     f"each host rebuilds its routing {owners_reporting(hosts):.3g} times: {format_value(owners_reporting(hosts) * rebuild, 's')} of a core"))
    rows.append(("regions partitioned for an hour", f"cut off from the key-value service a host asks {max(s.members - 1, 0):.3g} "
                 "members about every 1.3 s (E)", f"{format_value(request_bytes, 'B/s')}, limit {format_value(BYTES_LIMIT, 'B/s')}: "
                 + ("fits" if request_bytes <= BYTES_LIMIT else "does NOT fit")))
    return rows


def format_value(value, unit):
    if unit == "B" or unit == "B/s":
        for prefix, size in (("G", 1e9), ("M", 1e6), ("k", 1e3)):
            if value >= size:
                return f"{value / size:.3g} {prefix}{unit}"
    if unit == "s":
        return f"{value * 1e6:.3g} µs" if value < 1e-3 else f"{value * 1e3:.3g} ms" if value < 1 else f"{value:.3g} s"
    if unit == "cores":
        return f"{value * 100:.3g}% of a core" if value < 1 else f"{value:.3g} cores"
    if unit == "share":
        return f"{value * 100:.3g}%"
    return f"{value:,.0f} {unit}" if value >= 1000 else f"{value:.3g} {unit}"


def breaking_share(line):
    """Share of the design size at which the line reaches its limit, with all figures of the size scaled alike."""
    if line.value(TARGET.scaled(0.0008)) > line.limit:
        return 0.0
    low, high = 0.0008, 1.0
    for _ in range(60):
        middle = (low + high) / 2
        low, high = (middle, high) if line.value(TARGET.scaled(middle)) <= line.limit else (low, middle)
    return low


def markdown_row(*cells):
    return "| " + " | ".join(cells) + " |"


def slopes_table(fits):
    out = [markdown_row("slope", "measure", "range", "constant", "per item", "largest residual"), markdown_row(*["---"] * 6)]
    for key, (family, quantity, item, unit, factor, _) in SLOPES.items():
        f = fits[key]
        out.append(markdown_row(f"`{key}`", f"`{family}` {quantity}", f"{f.min_size:,.0f} to {f.max_size:,.0f} {item.replace('entry', 'entrie')}s",
                       f"{f.constant * factor:.3g} {unit}", f"{f.slope * factor:.3g} {unit}", f"{f.residual * 100:.1f}%"))
    return out


def sizes_table():
    out = [markdown_row("size", *[s.name for s in SIZES]), markdown_row(*["---"] * 4)]
    for name, field in (("hosts", "hosts"), ("regions", "regions"), ("data centres", "centres"), ("replicas", "replicas"),
                        ("queries a second", "queries"), ("shards per query", "shards"), ("edits a day", "edits_day"),
                        ("failures, restarts and replacements a day", "changes_day"), ("replicas per host", "replicas_per_host"),
                        ("sub-queries a second and host", "attempts")):
        out.append(markdown_row(name, *[f"{getattr(s, field):,.4g}" if getattr(s, field) < 1000 else f"{getattr(s, field):,.0f}" for s in SIZES]))
    return out


def role_table(lines):
    out = [markdown_row("quantity", *[s.name for s in SIZES], "limit", "carried by", "place", "estimate in it"), markdown_row(*["---"] * 8)]
    for line in lines:
        values = [format_value(line.value(s), line.unit) for s in SIZES]
        if line.limit < math.inf:
            values = [("**" + v + "**" if line.value(s) > line.limit else v) for v, s in zip(values, SIZES)]
        out.append(markdown_row(line.quantity, *values, format_value(line.limit, line.unit) if line.limit < math.inf else "",
                       line.mechanism, f"`{line.place.split(',')[0]}`" + line.place.partition(",")[2], line.estimate))
    return out


TOTALS = [(name, unit, limit, left_out) for name, unit, limit in (("processor time", "cores", CPU_LIMIT),
                                                                 ("bytes a second", "B/s", BYTES_LIMIT))
          for left_out in ((), ("Watching the key-value service",))]


def breaks_table(all_roles):
    found = []
    for role, lines in all_roles.items():
        for line in lines:
            if line.limit < math.inf and line.value(TARGET) > line.limit:
                found.append((breaking_share(line), role, line))
    for name, unit, limit, left_out in TOTALS:
        lines = [line for role, lines in all_roles.items() if role not in left_out for line in lines
                 if line.limit == limit and line.unit == unit]
        total = Line(f"all control of a host together: {name}", lambda s, lines=lines: sum(l.value(s) for l in lines), unit,
                     "", "", limit)
        if total.value(TARGET) > limit:
            found.append((breaking_share(total), "All roles" + (" except watching" if left_out else ""), total))
    out = [markdown_row("share of the design size", "hosts", "replicas", "role", "what breaks", "at the design size", "limit"), markdown_row(*["---"] * 7)]
    for x, role, line in sorted(found, key=lambda item: item[0]):
        at = TARGET.scaled(x)
        share, hosts, replicas = (f"{x * 100:.2g}%", f"{at.hosts:,.0f}", f"{at.replicas:,.0f}") if x > 0 else (
            "any: the rate per host does not shrink with the system", "", "")
        out.append(markdown_row(share, hosts, replicas, role, line.quantity, format_value(line.value(TARGET), line.unit), format_value(line.limit, line.unit)))
    return out


def totals_table(all_roles):
    out = [markdown_row("control per node, all lines with that limit", *[s.name for s in SIZES], "limit"), markdown_row(*["---"] * 5)]
    for name, unit, limit in (("processor time", "cores", CPU_LIMIT), ("bytes a second", "B/s", BYTES_LIMIT)):
        for label, left_out in (("watcher", ()), ("other hosts", ("Watching the key-value service",))):
            values = []
            for s in SIZES:
                total = sum(line.value(s) for role, lines in all_roles.items() if role not in left_out
                            for line in lines if line.limit == limit and line.unit == unit)
                values.append(f"**{format_value(total, unit)}**" if total > limit else format_value(total, unit))
            out.append(markdown_row(f"{name}, {label}", *values, format_value(limit, unit)))
    return out


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--filter", action="store_true")
    parser.add_argument("--measured")
    parser.add_argument("--page")
    arguments = parser.parse_args()
    if arguments.filter:
        print("^(" + "|".join(sorted({item[0] for item in SLOPES.values()})) + ")/")
        return
    fits, context = read_fits(arguments.measured)
    all_roles = lines_by_role(fits)
    load = ", ".join(f"{value:.1f}" for value in context.get("load_avg", []))
    blocks = {
        "run": [f"Run of {context['date']} at commit {context.get('commit', 'unknown')}; {context['num_cpus']} processors; load average at the "
                f"start {load}. Processor time, smallest of the repetitions."],
        "sizes": sizes_table(),
        "slopes": slopes_table(fits),
        "totals": totals_table(all_roles),
        "breaks": breaks_table(all_roles),
    }
    for role, lines in all_roles.items():
        blocks[role.lower().replace(" ", "-")] = role_table(lines)
    for size in SIZES:
        blocks["faults-" + size.name.lower().replace(" ", "-")] = [markdown_row("event", "effect", "cost"), markdown_row(*["---"] * 3)] + [
            markdown_row(*cells) for cells in failure_rows(fits, size)]
    with open(arguments.page, encoding="utf-8") as file:
        text = file.read()
    for name, lines in blocks.items():
        begin, end = f"<!-- capacity:{name} -->", "<!-- capacity:end -->"
        pattern = re.compile(re.escape(begin) + r".*?" + re.escape(end), re.S)
        if not pattern.search(text):
            raise SystemExit(f"{arguments.page}: the marker {begin} is missing")
        block = begin + "\n" + "\n".join(lines) + "\n" + end
        text = pattern.sub(lambda _: block, text, count=1)
    with open(arguments.page, "w", encoding="utf-8") as file:
        file.write(text)


if __name__ == "__main__":
    main()
