#include "query/send_reason.h"

namespace limpetlever {

const char* ToString(send_reason reason) {
  switch (reason) {
    case send_reason::first:
      return "first";
    case send_reason::hedge:
      return "hedge";
    case send_reason::retry:
      return "retry";
    case send_reason::moved:
      return "moved";
  }
  return "unknown";
}

}  // namespace limpetlever
