#include "base/json_reader.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "base/errc.h"

namespace limpetlever {

namespace {

std::string Describe(const Poco::Dynamic::Var& value) {
  std::string text = Poco::Dynamic::Var::toString(value);
  constexpr std::size_t kMaxShownChars = 60;
  if (text.size() > kMaxShownChars) {
    text = text.substr(0, kMaxShownChars) + "...";
  }
  return text;
}

template <typename T>
std::string DescribeRange(T min, T max) {
  std::ostringstream out;
  out << "allowed: " << min << " to " << max;
  return out.str();
}

/**
 * Replaces comments by spaces. Settings may hold line comments, and Poco's parser supports only
 * block comments.
 */
std::string ReplaceComments(std::string text) {
  enum class context { code, quoted, line_comment, block_comment };
  context current = context::code;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char next = i + 1 < text.size() ? text[i + 1] : '\0';
    switch (current) {
      case context::code:
        if (text[i] == '"') {
          current = context::quoted;
        } else if (text[i] == '/' && (next == '/' || next == '*')) {
          current = next == '/' ? context::line_comment : context::block_comment;
          text[i] = ' ';
          text[++i] = ' ';
        }
        break;
      case context::quoted:
        if (text[i] == '\\') {
          ++i;
        } else if (text[i] == '"') {
          current = context::code;
        }
        break;
      case context::line_comment:
        if (text[i] == '\n') {
          current = context::code;
        } else {
          text[i] = ' ';
        }
        break;
      case context::block_comment:
        if (text[i] == '*' && next == '/') {
          current = context::code;
          text[i] = ' ';
          text[++i] = ' ';
        } else if (text[i] != '\n') {
          text[i] = ' ';
        }
        break;
    }
  }
  return text;
}

}  // namespace

json_reader::json_reader(Poco::JSON::Object::Ptr object, std::string path)
    : object_(std::move(object)), path_(std::move(path)) {}

result<Poco::JSON::Object::Ptr> json_reader::ParseText(const std::string& text,
                                                       const std::string& source) {
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(32);
    const Poco::Dynamic::Var root = parser.parse(ReplaceComments(text));
    if (root.type() != typeid(Poco::JSON::Object::Ptr)) {
      return failure{errc::invalid_input, source + ": the top level must be an object"};
    }
    return root.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception& error) {
    return failure{errc::invalid_input, source + ": not valid JSON: " + error.displayText()};
  }
}

std::string json_reader::PathTo(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

bool json_reader::Has(const std::string& key) const {
  return object_->has(key);
}

bool json_reader::CheckPresent(const std::string& key) {
  read_keys_.insert(key);
  if (!object_->has(key) || object_->get(key).isEmpty()) {
    Fail(key, "is missing");
    return false;
  }
  return true;
}

std::string json_reader::String(const std::string& key) {
  if (!CheckPresent(key)) {
    return {};
  }
  const Poco::Dynamic::Var value = object_->get(key);
  if (!value.isString()) {
    Fail(key, "must be a string; found " + Describe(value));
    return {};
  }
  return value.convert<std::string>();
}

std::string json_reader::StringOr(const std::string& key, const std::string& fallback) {
  read_keys_.insert(key);
  return Has(key) ? String(key) : fallback;
}

std::string json_reader::StringOneOf(const std::string& key,
                                     const std::vector<std::string>& allowed) {
  const std::string value = String(key);
  if (first_error_ || std::find(allowed.begin(), allowed.end(), value) != allowed.end()) {
    return value;
  }
  std::string list;
  for (const std::string& item : allowed) {
    list += (list.empty() ? "" : ", ") + item;
  }
  Fail(key, "found \"" + value + "\"; allowed: " + list);
  return allowed.front();
}

std::int64_t json_reader::Integer(const std::string& key, std::int64_t min, std::int64_t max) {
  if (!CheckPresent(key)) {
    return min;
  }
  const Poco::Dynamic::Var value = object_->get(key);
  if (!value.isInteger() || value.isBoolean()) {
    Fail(key, "must be a whole number; found " + Describe(value));
    return min;
  }
  const auto number = value.convert<std::int64_t>();
  if (number < min || number > max) {
    Fail(key, "found " + Describe(value) + "; " + DescribeRange(min, max));
    return min;
  }
  return number;
}

std::int64_t json_reader::IntegerOr(const std::string& key,
                                    std::int64_t min,
                                    std::int64_t max,
                                    std::int64_t fallback) {
  read_keys_.insert(key);
  return Has(key) ? Integer(key, min, max) : fallback;
}

double json_reader::Number(const std::string& key, double min, double max) {
  if (!CheckPresent(key)) {
    return min;
  }
  const Poco::Dynamic::Var value = object_->get(key);
  if (!value.isNumeric() || value.isBoolean()) {
    Fail(key, "must be a number; found " + Describe(value));
    return min;
  }
  const auto number = value.convert<double>();
  if (!std::isfinite(number) || number < min || number > max) {
    Fail(key, "found " + Describe(value) + "; " + DescribeRange(min, max));
    return min;
  }
  return number;
}

double json_reader::NumberOr(const std::string& key, double min, double max, double fallback) {
  read_keys_.insert(key);
  return Has(key) ? Number(key, min, max) : fallback;
}

bool json_reader::BoolOr(const std::string& key, bool fallback) {
  read_keys_.insert(key);
  if (!Has(key)) {
    return fallback;
  }
  const Poco::Dynamic::Var value = object_->get(key);
  if (!value.isBoolean()) {
    Fail(key, "must be true or false; found " + Describe(value));
    return fallback;
  }
  return value.convert<bool>();
}

std::vector<std::string> json_reader::StringsOrEmpty(const std::string& key) {
  read_keys_.insert(key);
  std::vector<std::string> values;
  if (!Has(key)) {
    return values;
  }
  const Poco::JSON::Array::Ptr array = object_->getArray(key);
  if (array.isNull()) {
    Fail(key, "must be an array of strings");
    return values;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const Poco::Dynamic::Var value = array->get(static_cast<unsigned>(i));
    if (!value.isString()) {
      Fail(key, "must hold strings only; found " + Describe(value));
      return values;
    }
    values.push_back(value.convert<std::string>());
  }
  return values;
}

std::vector<int> json_reader::IntegersOrEmpty(const std::string& key,
                                              std::int64_t min,
                                              std::int64_t max) {
  read_keys_.insert(key);
  std::vector<int> values;
  if (!Has(key)) {
    return values;
  }
  const Poco::JSON::Array::Ptr array = object_->getArray(key);
  if (array.isNull()) {
    Fail(key, "must be an array of whole numbers");
    return values;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const Poco::Dynamic::Var value = array->get(static_cast<unsigned>(i));
    if (!value.isInteger() || value.isBoolean()) {
      Fail(key, "must hold whole numbers only; found " + Describe(value));
      return values;
    }
    const auto number = value.convert<std::int64_t>();
    if (number < min || number > max) {
      Fail(key, "found " + Describe(value) + "; " + DescribeRange(min, max));
      return values;
    }
    values.push_back(static_cast<int>(number));
  }
  return values;
}

std::vector<json_reader> json_reader::ObjectsOrEmpty(const std::string& key) {
  read_keys_.insert(key);
  std::vector<json_reader> readers;
  if (!Has(key)) {
    return readers;
  }
  const Poco::JSON::Array::Ptr array = object_->getArray(key);
  if (array.isNull()) {
    Fail(key, "must be an array of objects");
    return readers;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const Poco::JSON::Object::Ptr object = array->getObject(static_cast<unsigned>(i));
    if (object.isNull()) {
      Fail(key, "must hold objects only");
      return readers;
    }
    readers.emplace_back(object, PathTo(key) + "[" + std::to_string(i) + "]");
  }
  return readers;
}

json_reader json_reader::Object(const std::string& key) {
  read_keys_.insert(key);
  const Poco::JSON::Object::Ptr object = object_->getObject(key);
  if (object.isNull()) {
    Fail(key, "must be an object");
    return {new Poco::JSON::Object, PathTo(key)};
  }
  return {object, PathTo(key)};
}

void json_reader::Fail(const std::string& key, const std::string& message) {
  if (!first_error_) {
    first_error_ = failure{errc::invalid_input, PathTo(key) + " " + message};
  }
}

void json_reader::TakeErrorFrom(json_reader& nested) {
  const std::optional<failure> error = nested.Finish();
  if (error && !first_error_) {
    first_error_ = error;
  }
}

std::optional<failure> json_reader::Finish() {
  if (first_error_) {
    return first_error_;
  }
  for (const std::string& key : object_->getNames()) {
    if (!read_keys_.contains(key)) {
      Fail(key, "is not a known key");
      return first_error_;
    }
  }
  return std::nullopt;
}

}  // namespace limpetlever
