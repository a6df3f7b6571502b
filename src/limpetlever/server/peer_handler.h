#ifndef LIMPETLEVER_SERVER_PEER_HANDLER_H_
#define LIMPETLEVER_SERVER_PEER_HANDLER_H_

#include <string>
#include <vector>

#include "Peer.h"

namespace limpetlever {

class host_server;

/** Implements thrift/peer.thrift, the calls of other hosts. Thread-safe. */
class peer_handler : public peer::PeerIf {
 public:
  explicit peer_handler(host_server& server) : server_(server) {}

  void Attempts(const peer::AttemptBatch& batch) override;
  void Results(const peer::ResultBatch& batch) override;
  void Cancel(const peer::CancelBatch& batch) override;
  void Push(const std::vector<peer::GossipEntry>& entries) override;
  void Exchange(peer::ExchangeReply& reply, const peer::ExchangeRequest& request) override;
  bool Probe(const std::string& target, const std::string& asker) override;
  void Freshness(peer::FreshnessReply& reply) override;
  bool CloseEpoch(const std::string& region, std::int64_t epoch) override;
  void Release(const std::string& host, std::int64_t epoch) override;
  void Submit(peer::SubmitReply& reply, const peer::SubmitRequest& request) override;

 private:
  host_server& server_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_PEER_HANDLER_H_
