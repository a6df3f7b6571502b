#ifndef LIMPETLEVER_QUERY_ASKED_SERVERS_H_
#define LIMPETLEVER_QUERY_ASKED_SERVERS_H_

#include <cstddef>
#include <vector>

namespace limpetlever {

struct replica_record;

/** The backend servers that one query asks for one of its shards, counted by what is sent. */
class asked_servers {
 public:
  /** An attempt at `server` is about to be sent. */
  void Add(const replica_record* server);
  /** An attempt at `server` ended before anything was sent. */
  void Withdraw(const replica_record* server);

  /** Number of servers to which at least one attempt was sent, or is about to be. */
  int count() const;
  bool Contains(const replica_record* server) const;
  /** Whether the server was added, also if nothing was sent to it. */
  bool IsKnown(const replica_record* server) const { return Position(server) < known_.size(); }
  /** Each server that was added, also if nothing was sent to it. */
  const std::vector<const replica_record*>& known() const { return known_; }

 private:
  std::size_t Position(const replica_record* server) const;

  std::vector<const replica_record*> known_;
  /** Attempts that were sent, or are about to be, by position in `known_`. */
  std::vector<int> attempts_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_ASKED_SERVERS_H_
