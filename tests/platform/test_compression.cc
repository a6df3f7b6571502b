#include <criterion/criterion.h>

#include <string>

#include "platform/compression.h"

using namespace limpetlever;
using platform::Deflate;
using platform::Inflate;

// Guards against bytes that are changed on the way, and against memory that a damaged or hostile
// answer could fill.
Test(compression, inflates_what_was_deflated_and_nothing_else) {
  for (const std::size_t size : {0U, 1U, 5000U, 300'000U}) {
    std::string text;
    for (std::size_t i = 0; i < size; ++i) {
      text += static_cast<char>(i * i % 251);
    }
    cr_assert(Inflate(Deflate(text), size) == text);
  }
  const std::string zeros(1024 * 1024, '\0');
  const std::string deflated = Deflate(zeros);
  cr_assert(!Inflate(deflated, zeros.size() - 1), "larger than allowed");
  cr_assert(!Inflate(deflated.substr(0, deflated.size() / 2), zeros.size()), "cut short");
  cr_assert(!Inflate("no compressed bytes", zeros.size()));
  cr_assert(!Inflate("", zeros.size()));
}
