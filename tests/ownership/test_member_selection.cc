#include <criterion/criterion.h>

#include "ownership/member_selection.h"

using namespace limpetlever;

namespace {

member Host(const std::string& name, member_state state) {
  return {.name = name,
          .region = "seeland",
          .data_centre = "north",
          .http_address = {},
          .peer_address = {},
          .incarnation = 2,
          .state = state};
}

const ownership_view kView{.epoch = 4,
                           .members = {{.name = "a", .data_centre = "north", .incarnation = 1},
                                       {.name = "b", .data_centre = "north", .incarnation = 1},
                                       {.name = "c", .data_centre = "north", .incarnation = 1}}};

}  // namespace

// Guards against a newly started host committing a view of which it is the only member. In a
// rolling replacement this left all replicas without an owner for about 8 s.
Test(member_selection, members_of_unknown_state_are_kept) {
  const auto wanted = SelectMembers(
      kView,
      {.region = "seeland", .members = {Host("d", member_state::alive)}, .taken_out_hosts = {}});
  cr_assert(wanted.size() == 4);
  cr_assert(wanted[0].name == "a" && wanted[3].name == "d");
}

// Guards against keeping hosts that are dead, are leaving, or were taken out by an operator.
Test(member_selection, dead_leaving_and_taken_out_hosts_are_dropped) {
  const auto wanted = SelectMembers(
      kView, {.region = "seeland",
              .members = {Host("a", member_state::dead), Host("b", member_state::leaving),
                          Host("c", member_state::suspect), Host("d", member_state::alive)},
              .taken_out_hosts = {"d"}});
  cr_assert(wanted.size() == 1);
  cr_assert(wanted[0].name == "c" && wanted[0].incarnation == 2);
}
