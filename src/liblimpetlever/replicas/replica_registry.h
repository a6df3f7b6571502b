#ifndef LIMPETLEVER_REPLICAS_REPLICA_REGISTRY_H_
#define LIMPETLEVER_REPLICAS_REPLICA_REGISTRY_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time_types.h"

namespace limpetlever {

struct replica;
struct replica_record;

/**
 * The backend servers by service, with the data centres that operators took out. Records are
 * shared with the attempts that use them, so that they outlive their removal.
 */
class replica_registry {
 public:
  using record_list = std::vector<std::shared_ptr<replica_record>>;

  explicit replica_registry(std::string own_data_centre);

  /**
   * Takes what a backend server states. A new life under a known id starts a new record. Returns
   * whether the server is new, changed its address, or changed between usable and not.
   */
  bool Put(const replica& stated, instant now);
  /** The server has left; it gets nothing new. Returns whether it was known. */
  bool Remove(const std::string& id);
  /** Data centres whose servers get nothing. Returns whether this is a change. */
  bool SetTakenOut(std::set<std::string> data_centres);

  /** All known servers of a service, usable or not. */
  const record_list& OfService(const std::string& service) const;
  /** nullptr when the id is not known. */
  std::shared_ptr<replica_record> Find(const std::string& id) const;
  std::vector<std::string> Ids() const;
  std::size_t size() const { return by_id_.size(); }
  const std::set<std::string>& taken_out() const { return taken_out_; }
  const std::string& own_data_centre() const { return own_data_centre_; }

 private:
  void Unlist(const std::shared_ptr<replica_record>& record);
  bool ShouldUse(const replica& stated) const;

  const std::string own_data_centre_;
  std::unordered_map<std::string, std::shared_ptr<replica_record>> by_id_;
  std::unordered_map<std::string, record_list> by_service_;
  std::set<std::string> taken_out_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPLICA_REGISTRY_H_
