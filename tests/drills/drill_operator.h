#ifndef TESTS_DRILLS_DRILL_OPERATOR_H_
#define TESTS_DRILLS_DRILL_OPERATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "base/time_types.h"

namespace limpetlever {

class drill_store;
class event_loop;

/** Writes configurations and evacuations, and writes again what the store has lost. */
class drill_operator {
 public:
  drill_operator(event_loop& loop, drill_store& store, std::vector<std::string> services);

  /** Writes the next version: routes are moved, added or removed. */
  void ChangeConfig(std::uint64_t choice);
  void Evacuate(const std::string& data_centre);
  /** Nullopt: none is evacuated. */
  const std::optional<std::string>& evacuated() const { return evacuated_; }
  void EndEvacuation();
  /** The store has returned from a copy. Writes again within 2 s. */
  void OnStoreReturn(std::uint64_t choice, bool repeats_all_versions);

  /** A prefix of a route that exists, or was removed a short time ago. */
  std::string ChoosePrefix(random_source& random) const;

 private:
  struct config {
    std::int64_t version = 3;
    /** From prefix to service. */
    std::map<std::string, std::string> routes;
  };
  std::string Encode(const config& value) const;
  /** Writes the newest version and the evacuation if the store lacks them; later if it is away. */
  void Write();
  void WriteConfig(const config& value);
  std::int64_t StoredVersion() const;

  event_loop& loop_;
  drill_store& store_;
  const std::vector<std::string> services_;
  config newest_;
  /** Versions in the order of writing, the last ones only. */
  std::vector<config> written_;
  std::vector<std::string> removed_prefixes_;
  int next_route_ = 0;
  std::optional<std::string> evacuated_;
  std::set<std::string> all_evacuated_;
};

}  // namespace limpetlever

#endif  // TESTS_DRILLS_DRILL_OPERATOR_H_
