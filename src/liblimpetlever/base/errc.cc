#include "base/errc.h"

#include <string>

namespace limpetlever {

namespace {

const char* ErrorName(errc value) {
  switch (value) {
    case errc::ok:
      return "ok";
    case errc::invalid_input:
      return "invalid_input";
    case errc::too_large:
      return "too_large";
    case errc::unknown_workload:
      return "unknown_workload";
    case errc::deadline_exceeded:
      return "deadline_exceeded";
    case errc::replica_full:
      return "replica_full";
    case errc::replica_cold:
      return "replica_cold";
    case errc::replica_draining:
      return "replica_draining";
    case errc::not_owner:
      return "not_owner";
    case errc::lease_lapsed:
      return "lease_lapsed";
    case errc::version_gone:
      return "version_gone";
    case errc::no_replica:
      return "no_replica";
    case errc::request_blocked:
      return "request_blocked";
    case errc::connection_failed:
      return "connection_failed";
    case errc::connection_lost:
      return "connection_lost";
    case errc::connection_silent:
      return "connection_silent";
    case errc::malformed_answer:
      return "malformed_answer";
    case errc::backend_error:
      return "backend_error";
    case errc::shed:
      return "shed";
    case errc::cancelled:
      return "cancelled";
    case errc::store_unavailable:
      return "store_unavailable";
    case errc::store_conflict:
      return "store_conflict";
    case errc::store_outcome_unknown:
      return "store_outcome_unknown";
    case errc::edit_conflict:
      return "edit_conflict";
    case errc::key_reused:
      return "key_reused";
    case errc::claim_unresolved:
      return "claim_unresolved";
    case errc::shutting_down:
      return "shutting_down";
    case errc::not_ready:
      return "not_ready";
    case errc::budget_exhausted:
      return "budget_exhausted";
    case errc::peer_unreachable:
      return "peer_unreachable";
    case errc::not_found:
      return "not_found";
    case errc::overloaded:
      return "overloaded";
  }
  return "unknown";
}

class limpetlever_category : public std::error_category {
 public:
  const char* name() const noexcept override { return "limpetlever"; }
  std::string message(int value) const override { return ErrorName(static_cast<errc>(value)); }
};

}  // namespace

const std::error_category& LimpetleverCategory() {
  // Never deleted, since error codes may be used during the destruction of static objects.
  static const auto* category = new limpetlever_category;
  return *category;
}

std::error_code make_error_code(errc value) {
  return {static_cast<int>(value), LimpetleverCategory()};
}

std::error_code ErrorFromNumber(int number) {
  if (number < static_cast<int>(errc::ok) || number > static_cast<int>(errc::overloaded)) {
    return errc::backend_error;
  }
  return static_cast<errc>(number);
}

}  // namespace limpetlever
