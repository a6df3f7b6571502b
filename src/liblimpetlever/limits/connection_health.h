#ifndef LIMPETLEVER_LIMITS_CONNECTION_HEALTH_H_
#define LIMPETLEVER_LIMITS_CONNECTION_HEALTH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time_types.h"
#include "chart/chart_state.h"
#include "limits/connection_drop.h"

namespace limpetlever {

/**
 * Health of all connections to one backend server. Distinguishes a silent connection from a silent
 * server by the progress of the other connections. A connection is identified by its generation, a
 * number that is never reused; calls for a generation that is not open are ignored. Not
 * thread-safe.
 */
class connection_health {
 public:
  /**
   * `cost` is connection_cost_ms of the table: the minimum time between two openings.
   * `max_connections` is the table's limit of connections.
   */
  connection_health(duration cost, std::size_t max_connections);

  /** Changes the limits; connections above a lower limit stay until they are closed. */
  void SetLimits(duration cost, std::size_t max_connections);

  /** Whether a connection may be opened now; each opening must be reported by OnOpening. */
  bool MayOpen(instant now) const;
  /** When the next connection may be opened; nullopt while the maximum number is open. */
  std::optional<instant> NextOpening(instant now) const;
  /** A connection is being opened. It counts towards the limits even before it is established. */
  void OnOpening(std::uint64_t generation, instant now);

  /** A request is being sent on an idle connection. */
  void OnUsed(std::uint64_t generation, instant now);
  /** Bytes of the answer arrived. */
  void OnBytes(std::uint64_t generation, instant now);
  /** The answer is complete and the connection is idle. */
  void OnFinished(std::uint64_t generation, instant now);
  /** The connection failed or was closed by either side. */
  void OnFailed(std::uint64_t generation);

  /**
   * Removes and returns the connections to close now: silent ones, and those idle for too long. A
   * request on a silent connection may have run. To be called at NextCheck() and after
   * OnFinished().
   */
  std::vector<connection_drop> TakeDrops(instant now);
  /** When TakeDrops is next due; nullopt if only an event on a connection can cause a drop. */
  std::optional<instant> NextCheck() const;

  /**
   * Time without progress after which a busy connection is suspect: 4 times the 99th percentile of
   * the latency, at least 200 ms.
   */
  duration progress_limit() const { return progress_limit_; }
  std::size_t size() const { return connections_.size(); }
  /** State of a connection in the connection chart; "closed" if it is not open. */
  const std::string& ConnectionState(std::uint64_t generation) const;

 private:
  struct connection {
    chart_state state;
    instant used_at;
    /** Time of the last received byte, use or opening. */
    instant progress_at;
  };
  connection* Find(std::uint64_t generation);
  void RecordLatency(duration latency);

  duration cost_;
  std::size_t max_connections_;
  std::map<std::uint64_t, connection> connections_;
  std::optional<instant> opened_at_;
  /** Send time of the latest request of which bytes of the answer have arrived. */
  std::optional<instant> latest_answered_use_;
  std::vector<duration> latencies_;
  std::size_t next_latency_ = 0;
  duration progress_limit_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_CONNECTION_HEALTH_H_
