#include <criterion/criterion.h>

#include "config/route_table.h"

using namespace limpetlever;

namespace {

route Route(const std::string& name, const std::string& host, const std::string& prefix) {
  return {.name = name, .host = host, .prefix = prefix, .services = {{.service = "s"}}};
}

std::string NameAt(const route_table& table, std::string_view host, std::string_view path) {
  const route* found = table.Find(host, path);
  return found == nullptr ? "none" : found->name;
}

}  // namespace

// Guards against matching the route of another host, or of a shorter prefix than the longest.
Test(route_table, the_longest_prefix_of_the_host_wins) {
  const route_table table(1,
                          {Route("short", "a.example", "/x/"), Route("long", "a.example", "/x/y/"),
                           Route("other", "b.example", "/x/y/z/"), Route("root", "b.example", "/")},
                          {}, {});
  cr_assert(NameAt(table, "a.example", "/x/y/z/1") == "long");
  cr_assert(NameAt(table, "a.example", "/x/yy/1") == "short");
  cr_assert(NameAt(table, "a.example", "/x") == "none");
  cr_assert(NameAt(table, "A.Example:80", "/x/1?q=/x/y/") == "short");
  cr_assert(NameAt(table, "b.example", "/q") == "root");
  cr_assert(NameAt(table, "c.example", "/x/") == "none");
}
