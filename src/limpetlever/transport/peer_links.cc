#include "transport/peer_links.h"

#include <thrift/Thrift.h>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <utility>

#include "Peer.h"
#include "base/errc.h"
#include "transport/monotonic_clock.h"
#include "transport/peer_codec.h"
#include "transport/peer_connection.h"
#include "transport/peer_link.h"

namespace limpetlever {

namespace {

constexpr duration kCallTimeLimit = std::chrono::seconds(1);
// Every probe of a dead host fails, at least twice a second, so reports are rate-limited.
constexpr duration kReportPeriod = std::chrono::seconds(10);
constexpr duration kSubmitTimeLimit = std::chrono::seconds(15);

template <typename Item>
void Append(std::vector<Item>& to, std::vector<Item> items) {
  to.insert(to.end(), std::make_move_iterator(items.begin()), std::make_move_iterator(items.end()));
}

}  // namespace

peer_links::peer_links(std::string own_name,
                       std::string own_address,
                       int threads,
                       send_failure_listener on_failure,
                       unreachable_listener on_unreachable)
    : own_name_(std::move(own_name)),
      own_address_(std::move(own_address)),
      on_failure_(std::move(on_failure)),
      on_unreachable_(std::move(on_unreachable)),
      pool_(std::make_unique<boost::asio::thread_pool>(threads)) {}

peer_links::~peer_links() {
  pool_->join();
}

std::shared_ptr<peer_link> peer_links::FindOrCreateLink(const std::string& peer) {
  const std::lock_guard lock(mutex_);
  std::shared_ptr<peer_link>& link = links_[peer];
  if (!link) {
    link = std::make_shared<peer_link>();
    link->address = peer;
  }
  return link;
}

void peer_links::ReportFailure(peer_link& link, const std::string& error) {
  {
    const std::lock_guard lock(link.mutex);
    const instant now = MonotonicNow();
    if (link.failure_reported_at && now - *link.failure_reported_at < kReportPeriod) {
      return;
    }
    link.failure_reported_at = now;
  }
  on_unreachable_(link.address, error);
}

template <typename Reply, typename Call>
result<Reply> peer_links::CallPeer(const std::string& peer, duration time_limit, Call call) {
  const auto shared_link = FindOrCreateLink(peer);
  peer_link& link = *shared_link;
  std::unique_ptr<peer_connection> connection;
  {
    const std::lock_guard lock(link.mutex);
    if (!link.idle_connections.empty() && time_limit == kCallTimeLimit) {
      connection = std::move(link.idle_connections.back());
      link.idle_connections.pop_back();
    }
  }
  if (!connection) {
    connection = std::make_unique<peer_connection>(link.address, time_limit);
  }
  bool is_open = false;
  try {
    connection->Open();
    is_open = true;
    Reply reply = call(connection->client());
    if (time_limit == kCallTimeLimit) {
      const std::lock_guard lock(link.mutex);
      link.idle_connections.push_back(std::move(connection));
    }
    return reply;
  } catch (const apache::thrift::TException& error) {
    ReportFailure(link, error.what());
    return failure{is_open ? errc::connection_lost : errc::peer_unreachable,
                   link.address + ": " + error.what()};
  }
}

void peer_links::Schedule(const std::shared_ptr<peer_link>& link) {
  // The link's mutex is already locked.
  if (!link->is_scheduled) {
    link->is_scheduled = true;
    boost::asio::post(*pool_, [this, link] { SendQueued(link); });
  }
}

void peer_links::SendAttempts(const std::string& peer, std::vector<attempt_request> attempts) {
  const auto link = FindOrCreateLink(peer);
  const std::lock_guard lock(link->mutex);
  Append(link->attempts, std::move(attempts));
  Schedule(link);
}

void peer_links::SendResults(const std::string& peer, std::vector<attempt_result> results) {
  const auto link = FindOrCreateLink(peer);
  const std::lock_guard lock(link->mutex);
  Append(link->results, std::move(results));
  Schedule(link);
}

void peer_links::SendCancels(const std::string& peer, std::vector<attempt_id> ids) {
  const auto link = FindOrCreateLink(peer);
  const std::lock_guard lock(link->mutex);
  Append(link->cancels, std::move(ids));
  Schedule(link);
}

void peer_links::SendRelease(const std::string& peer, std::int64_t epoch) {
  const auto link = FindOrCreateLink(peer);
  const std::lock_guard lock(link->mutex);
  link->released_epochs.push_back(epoch);
  Schedule(link);
}

void peer_links::SendEntries(const std::string& peer, std::vector<peer::GossipEntry> entries) {
  const auto link = FindOrCreateLink(peer);
  const std::lock_guard lock(link->mutex);
  Append(link->entries, std::move(entries));
  Schedule(link);
}

void peer_links::SendQueued(const std::shared_ptr<peer_link>& link) {
  std::vector<attempt_request> attempts;
  std::vector<attempt_result> results;
  std::vector<attempt_id> cancels;
  std::vector<peer::GossipEntry> entries;
  std::vector<std::int64_t> released_epochs;
  {
    const std::lock_guard lock(link->mutex);
    attempts.swap(link->attempts);
    results.swap(link->results);
    cancels.swap(link->cancels);
    entries.swap(link->entries);
    released_epochs.swap(link->released_epochs);
  }
  bool is_open = false;
  try {
    if (!link->sender) {
      link->sender = std::make_unique<peer_connection>(link->address, kCallTimeLimit);
    }
    link->sender->Open();
    is_open = true;
    peer::PeerClient& client = link->sender->client();
    if (!results.empty()) {
      client.Results(ToThrift(own_address_, results));
    }
    if (!attempts.empty()) {
      client.Attempts(ToThrift(own_address_, attempts));
    }
    if (!cancels.empty()) {
      peer::CancelBatch batch;
      batch.coordinator = own_address_;
      for (const attempt_id& id : cancels) {
        batch.ids.push_back(ToThrift(id));
      }
      client.Cancel(batch);
    }
    if (!entries.empty()) {
      client.Push(entries);
    }
    for (const std::int64_t epoch : released_epochs) {
      client.Release(own_name_, epoch);
    }
  } catch (const apache::thrift::TException& error) {
    link->sender.reset();
    ReportFailure(*link, error.what());
    if (!attempts.empty()) {
      on_failure_(attempts, is_open ? MayHaveRun(errc::peer_unreachable, error.what())
                                    : NotRun(errc::peer_unreachable, error.what()));
    }
  }
  const std::lock_guard lock(link->mutex);
  link->is_scheduled = false;
  if (!link->attempts.empty() || !link->results.empty() || !link->cancels.empty() ||
      !link->entries.empty() || !link->released_epochs.empty()) {
    Schedule(link);
  }
}

result<peer::ExchangeReply> peer_links::Exchange(const std::string& peer,
                                                 const peer::ExchangeRequest& request) {
  return CallPeer<peer::ExchangeReply>(peer, kCallTimeLimit, [&](auto& client) {
    peer::ExchangeReply reply;
    client.Exchange(reply, request);
    return reply;
  });
}

result<peer::FreshnessReply> peer_links::Freshness(const std::string& peer) {
  return CallPeer<peer::FreshnessReply>(peer, kCallTimeLimit, [&](auto& client) {
    peer::FreshnessReply reply;
    client.Freshness(reply);
    return reply;
  });
}

result<bool> peer_links::Probe(const std::string& peer, const std::string& target) {
  return CallPeer<bool>(peer, kCallTimeLimit,
                        [&](auto& client) { return client.Probe(target, own_name_); });
}

result<bool> peer_links::CloseEpoch(const std::string& peer,
                                    const std::string& region,
                                    std::int64_t epoch) {
  return CallPeer<bool>(peer, kCallTimeLimit,
                        [&](auto& client) { return client.CloseEpoch(region, epoch); });
}

result<peer::SubmitReply> peer_links::Submit(const std::string& peer,
                                             const peer::SubmitRequest& request) {
  return CallPeer<peer::SubmitReply>(peer, kSubmitTimeLimit, [&](auto& client) {
    peer::SubmitReply reply;
    client.Submit(reply, request);
    return reply;
  });
}

}  // namespace limpetlever
