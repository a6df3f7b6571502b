#include <Poco/Exception.h>
#include <criterion/criterion.h>

#include "http/test_host.h"
#include "server/http_server.h"

using namespace limpetlever;

// Guards against a second host that starts on an address in use and receives a part of the callers.
Test(addresses, an_http_address_in_use_is_refused) {
  test_host host;
  bool is_refused = false;
  try {
    const http_server second(host.server());
  } catch (const Poco::Exception&) {
    is_refused = true;
  }
  cr_assert(is_refused);
}
