#include "control/watcher_choice.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

#include "base/hash.h"

namespace limpetlever {

std::vector<std::string> ChooseWatchers(const std::vector<member>& members,
                                        const std::string& data_centre) {
  const std::uint64_t data_centre_hash = Hash("watcher/" + data_centre);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  for (const member& host : members) {
    const bool is_candidate =
        host.state == member_state::alive || host.state == member_state::suspect;
    if (is_candidate && host.data_centre == data_centre) {
      ranked.emplace_back(CombineHashes(Hash(host.name), data_centre_hash), host.name);
    }
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  ranked.resize(std::min(ranked.size(), kWatchersPerDataCentre));
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto& [rank, name] : ranked) {
    names.push_back(std::move(name));
  }
  return names;
}

bool IsWatcher(const std::vector<member>& members,
               const std::string& data_centre,
               const std::string& name) {
  const std::vector<std::string> watchers = ChooseWatchers(members, data_centre);
  return std::find(watchers.begin(), watchers.end(), name) != watchers.end();
}

}  // namespace limpetlever
