#ifndef LIMPETLEVER_BASE_JSON_READER_H_
#define LIMPETLEVER_BASE_JSON_READER_H_

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"

namespace limpetlever {

/**
 * Reads the fields of one JSON object and keeps the first error with its path: unknown key, missing
 * key, wrong type or value out of range. A read that fails returns an empty or allowed value; call
 * Finish() before the values are used. When the key is absent, functions whose names end in "Or"
 * return the fallback, and those in "OrEmpty" an empty vector. Numbers must be within [min, max].
 */
class json_reader {
 public:
  /** `path` names the object in error messages, for example "services[3]". */
  json_reader(Poco::JSON::Object::Ptr object, std::string path);

  /**
   * Parses a JSON object that may hold line and block comments. The message of a failure begins
   * with `source`.
   */
  static result<Poco::JSON::Object::Ptr> ParseText(const std::string& text,
                                                   const std::string& source);

  /** Whether the key is present; does not count as reading it. */
  bool Has(const std::string& key) const;
  std::string String(const std::string& key);
  std::string StringOr(const std::string& key, const std::string& fallback);
  /** A string that must be one of `allowed`. */
  std::string StringOneOf(const std::string& key, const std::vector<std::string>& allowed);
  std::int64_t Integer(const std::string& key, std::int64_t min, std::int64_t max);
  std::int64_t IntegerOr(const std::string& key,
                         std::int64_t min,
                         std::int64_t max,
                         std::int64_t fallback);
  double Number(const std::string& key, double min, double max);
  double NumberOr(const std::string& key, double min, double max, double fallback);
  bool BoolOr(const std::string& key, bool fallback);
  std::vector<std::string> StringsOrEmpty(const std::string& key);
  std::vector<int> IntegersOrEmpty(const std::string& key, std::int64_t min, std::int64_t max);
  /** Returns a reader for each element of the array `key`, which may be absent. */
  std::vector<json_reader> ObjectsOrEmpty(const std::string& key);
  /** Returns a reader for the object `key`, which must be present. */
  json_reader Object(const std::string& key);

  /** Records the error "PATH.KEY MESSAGE" unless an error was recorded before. */
  void Fail(const std::string& key, const std::string& message);
  /** Calls Finish() on `nested` and records its error unless an error was recorded before. */
  void TakeErrorFrom(json_reader& nested);
  /** Returns the first error or nullopt. A key of the object that was never read is an error. */
  std::optional<failure> Finish();

  const std::string& path() const { return path_; }

 private:
  std::string PathTo(const std::string& key) const;
  /** Marks the key as read. Records an error and returns false if it is absent. */
  bool CheckPresent(const std::string& key);

  Poco::JSON::Object::Ptr object_;
  std::string path_;
  std::set<std::string> read_keys_;
  std::optional<failure> first_error_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_JSON_READER_H_
