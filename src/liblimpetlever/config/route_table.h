#ifndef LIMPETLEVER_CONFIG_ROUTE_TABLE_H_
#define LIMPETLEVER_CONFIG_ROUTE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/caller_limits.h"
#include "config/route.h"
#include "config/service_settings.h"

namespace limpetlever {

/**
 * One version of the operators' configuration. Immutable; a request keeps using the version that
 * was current when it arrived.
 */
class route_table {
 public:
  route_table(std::int64_t version,
              std::vector<route> routes,
              std::vector<service_settings> services,
              caller_limits limits);

  std::int64_t version() const { return version_; }
  const std::vector<route>& routes() const { return routes_; }
  const std::vector<service_settings>& services() const { return services_; }
  const caller_limits& limits() const { return limits_; }

  /**
   * The route of `host` with the longest prefix that matches `path`; nullptr if there is none. A
   * port in `host` and a query string in `path` are ignored.
   */
  const route* Find(std::string_view host, std::string_view path) const;

  /** nullptr for a service without settings. */
  const service_settings* FindService(const std::string& name) const;

 private:
  std::int64_t version_;
  std::vector<route> routes_;
  std::vector<service_settings> services_;
  caller_limits limits_;
  /** Index in `routes_`, by host in lower case followed by the prefix. */
  std::unordered_map<std::string, std::size_t> by_prefix_;
  /** Index in `services_`, by name. */
  std::unordered_map<std::string, std::size_t> by_service_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONFIG_ROUTE_TABLE_H_
