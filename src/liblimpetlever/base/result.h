#ifndef LIMPETLEVER_BASE_RESULT_H_
#define LIMPETLEVER_BASE_RESULT_H_

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace limpetlever {

/** The error of an operation that did not return a value. `message` is for people. */
struct failure {
  std::error_code code;
  std::string message;

  bool operator==(const failure&) const = default;
};

/**
 * The value of an operation or its failure. value() requires a value and error() a failure;
 * otherwise they throw std::bad_variant_access.
 */
template <typename T>
class result {
 public:
  result(T value) : state_(std::move(value)) {}          // NOLINT: implicit by design
  result(failure reason) : state_(std::move(reason)) {}  // NOLINT: implicit by design

  explicit operator bool() const { return std::holds_alternative<T>(state_); }
  const T& value() const { return std::get<T>(state_); }
  T& value() { return std::get<T>(state_); }
  const T& operator*() const { return value(); }
  const T* operator->() const { return &value(); }
  const failure& error() const { return std::get<failure>(state_); }

 private:
  std::variant<T, failure> state_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_RESULT_H_
