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
#include "limits/limit_sharers.h"
#include "replicas/replica.h"

namespace limpetlever {

struct replica_record;
struct service_settings;

/**
 * The registered backend servers by service, and the data centres that operators have taken out.
 * Records are shared with the attempts in flight, which keep them alive after their removal.
 */
class replica_registry {
 public:
  using record_list = std::vector<std::shared_ptr<replica_record>>;

  explicit replica_registry(std::string own_data_centre);

  /**
   * Adds a backend server or updates its record. A restarted process under a known id gets a new
   * record. Returns whether the server is new or restarted, has changed its address or service, or
   * has become usable or unusable.
   */
  bool Put(const replica& registered, instant now);
  /**
   * Removes a server, which gets no new attempts. If the same process registers again, because its
   * entry had expired or was overwritten, what is known of it still holds. Returns whether it was
   * known.
   */
  bool Remove(const std::string& id, instant now);
  /**
   * Whether the entry is older than the newest one under its id, of an earlier process or written
   * earlier by the same one: it was written late, or is an older copy. It must not be Put, since it
   * would undo that the server leaves, drains or was removed. It is held back for
   * TakeLastingEntries, unless the process itself has written a later one since.
   */
  bool HoldBack(const replica& registered, instant now);
  /**
   * Removes and returns the entries that were held back and that nothing has replaced for some
   * heartbeats: their processes are the present ones, started after a step of the clock, or alive
   * although they were removed before the store came back from a copy.
   */
  std::vector<replica> TakeLastingEntries(instant now);
  /**
   * The store has come back from a copy: the last entry of a server that was removed before may be
   * there again, and does not mean that the server is back.
   */
  void BeginHistory();
  /** Sets the data centres whose servers get no attempts. Returns whether the set has changed. */
  bool SetTakenOut(std::set<std::string> data_centres, instant now);

  /**
   * Sets the hosts that share the limits of the servers. `is_settled` is false on a host that does
   * not know all others yet; it has no part in the limits of cold servers.
   */
  void SetLimitSharers(limit_sharers sharers, bool is_settled, instant now);
  /** Sets what the configuration says of the services. */
  void SetServices(const std::vector<service_settings>& services, instant now);

  /** All known servers of a service, usable or not. */
  const record_list& FindByService(const std::string& service) const;
  /** Returns nullptr if the id is unknown. */
  std::shared_ptr<replica_record> Find(const std::string& id) const;
  std::vector<std::string> Ids() const;
  std::size_t size() const { return by_id_.size(); }
  /** Number of servers to which requests are limited since they are, or may be, cold. */
  std::size_t CountCold(instant now) const;
  const std::set<std::string>& taken_out() const { return taken_out_; }
  const std::string& own_data_centre() const { return own_data_centre_; }

 private:
  /** Applies an entry of the process that `record` stands for. */
  void Update(replica_record& record, const replica& registered, instant now);
  /** Applies to a record what the configuration says of its service, and its hosts. */
  void ApplyLimits(replica_record& record, instant now) const;
  void RemoveFromService(const std::shared_ptr<replica_record>& record);
  /** Returns the record of a removed server if `registered` is the same process. */
  std::shared_ptr<replica_record> TakeRemoved(const replica& registered, instant now);
  void ForgetRemoved(instant now);

  const std::string own_data_centre_;
  std::unordered_map<std::string, std::shared_ptr<replica_record>> by_id_;
  std::unordered_map<std::string, record_list> by_service_;
  struct removed_record {
    std::shared_ptr<replica_record> record;
    instant at;
    /** Whether the store has come back from a copy since. */
    bool is_of_earlier_history = false;
  };
  /** By id. */
  std::unordered_map<std::string, removed_record> removed_;
  struct held_back_entry {
    replica registered;
    instant at;
  };
  /** By id. */
  std::unordered_map<std::string, held_back_entry> held_back_;
  std::set<std::string> taken_out_;
  limit_sharers sharers_;
  bool is_settled_ = false;
  struct warm_up_settings {
    double requests_per_s = 0.0;
    duration warm_up{};
    bool operator==(const warm_up_settings&) const = default;
  };
  /** By service; those without a limit for cold servers are left out. */
  std::unordered_map<std::string, warm_up_settings> warm_up_settings_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPLICA_REGISTRY_H_
