#include <criterion/criterion.h>

#include "base/errc.h"
#include "base/verdict.h"

using namespace limpetlever;

// Guards against an unknown error number, as a newer host may send, being read as success.
Test(verdict, unknown_error_numbers_are_backend_errors) {
  cr_assert(ErrorFromNumber(9999) == errc::backend_error);
  cr_assert(ErrorFromNumber(-1) == errc::backend_error);
  cr_assert(ErrorFromNumber(static_cast<int>(errc::shed)) == errc::shed);
}
