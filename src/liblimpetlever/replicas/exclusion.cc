#include "replicas/exclusion.h"

namespace limpetlever {

const char* ToString(exclusion reason) {
  switch (reason) {
    case exclusion::none:
      return "none";
    case exclusion::not_registered:
      return "not_registered";
    case exclusion::draining:
      return "draining";
    case exclusion::data_centre_out:
      return "data_centre_out";
    case exclusion::misdirected:
      return "misdirected";
    case exclusion::leaving:
      return "leaving";
    case exclusion::pause:
      return "pause";
    case exclusion::limit:
      return "limit";
    case exclusion::cold:
      return "cold";
  }
  return "unknown";
}

}  // namespace limpetlever
