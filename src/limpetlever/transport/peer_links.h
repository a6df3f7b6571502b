#ifndef LIMPETLEVER_TRANSPORT_PEER_LINKS_H_
#define LIMPETLEVER_TRANSPORT_PEER_LINKS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time_types.h"
#include "peer_types.h"
#include "routing/attempt_id.h"
#include "routing/attempt_request.h"
#include "routing/attempt_result.h"

namespace boost::asio {
class thread_pool;
}

namespace limpetlever {

struct peer_link;

/**
 * Client of the other hosts' peer service. Messages queued while a link is sending are sent
 * together afterwards. `peer` is a host's peer address ("IP:port"). Thread-safe.
 */
class peer_links {
 public:
  /** Called with attempts that could not be sent; `outcome` says whether they may have arrived. */
  using send_failure_listener =
      std::function<void(const std::vector<attempt_request>&, const verdict& outcome)>;

  /** Called when a message to a host failed, at most once per host in 10 s. */
  using unreachable_listener =
      std::function<void(const std::string& peer, const std::string& error)>;

  peer_links(std::string own_name,
             std::string own_address,
             int threads,
             send_failure_listener on_failure,
             unreachable_listener on_unreachable);
  ~peer_links();
  peer_links(const peer_links&) = delete;
  peer_links& operator=(const peer_links&) = delete;

  // The Send methods queue a message and return at once.

  void SendAttempts(const std::string& peer, std::vector<attempt_request> attempts);
  void SendResults(const std::string& peer, std::vector<attempt_result> results);
  void SendCancels(const std::string& peer, std::vector<attempt_id> ids);
  /** Informs the peer that this host no longer uses any replica that it lost in `epoch`. */
  void SendRelease(const std::string& peer, std::int64_t epoch);
  void SendEntries(const std::string& peer, std::vector<peer::GossipEntry> entries);

  // Calls that wait for the reply, at most one second per send or receive (Submit: 15 s). Failures:
  // peer_unreachable (nothing was sent), connection_lost (the call may have been carried out).

  result<peer::ExchangeReply> Exchange(const std::string& peer,
                                       const peer::ExchangeRequest& request);
  result<peer::FreshnessReply> Freshness(const std::string& peer);
  result<bool> Probe(const std::string& peer, const std::string& target);
  result<bool> CloseEpoch(const std::string& peer, const std::string& region, std::int64_t epoch);
  result<peer::SubmitReply> Submit(const std::string& peer, const peer::SubmitRequest& request);

 private:
  std::shared_ptr<peer_link> FindOrCreateLink(const std::string& peer);
  /** Posts SendQueued unless it is already posted; requires the link's mutex. */
  void Schedule(const std::shared_ptr<peer_link>& link);
  /** Runs `call` on an idle or new connection to the peer. */
  template <typename Reply, typename Call>
  result<Reply> CallPeer(const std::string& peer, duration time_limit, Call call);
  /** Calls the unreachable_listener, at most once per report period. */
  void ReportFailure(peer_link& link, const std::string& error);
  /** Sends the queued messages of a link. */
  void SendQueued(const std::shared_ptr<peer_link>& link);

  const std::string own_name_;
  const std::string own_address_;
  const send_failure_listener on_failure_;
  const unreachable_listener on_unreachable_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<peer_link>> links_;
  std::unique_ptr<boost::asio::thread_pool> pool_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_PEER_LINKS_H_
