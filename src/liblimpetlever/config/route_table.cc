#include "config/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace limpetlever {

namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

/** Removes the port of a Host header, which routes do not depend on. */
std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

route_table::route_table(std::int64_t version,
                         std::vector<route> routes,
                         std::vector<service_settings> services,
                         caller_limits limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      limits_(limits) {
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    by_prefix_.emplace(LowerCase(routes_[i].host) + routes_[i].prefix, i);
  }
  for (std::size_t i = 0; i < services_.size(); ++i) {
    by_service_.emplace(services_[i].name, i);
  }
}

const route* route_table::Find(std::string_view host, std::string_view path) const {
  path = path.substr(0, path.find('?'));
  std::string key = LowerCase(WithoutPort(host));
  const std::size_t host_size = key.size();
  key += path;
  // Every prefix ends with a slash, so only cuts after a slash can match.
  for (std::size_t cut = key.rfind('/'); cut != std::string::npos && cut >= host_size;
       cut = cut == 0 ? std::string::npos : key.rfind('/', cut - 1)) {
    key.resize(cut + 1);
    if (const auto found = by_prefix_.find(key); found != by_prefix_.end()) {
      return &routes_[found->second];
    }
  }
  return nullptr;
}

const service_settings* route_table::FindService(const std::string& name) const {
  const auto found = by_service_.find(name);
  return found == by_service_.end() ? nullptr : &services_[found->second];
}

}  // namespace limpetlever
