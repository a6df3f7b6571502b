#ifndef LIMPETLEVER_TESTS_SERVER_TEST_ANSWER_H_
#define LIMPETLEVER_TESTS_SERVER_TEST_ANSWER_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <map>
#include <set>
#include <string>

#include "base/json_reader.h"
#include "transport/http_fetch.h"

namespace limpetlever {

/** A host's answer to a query or a submission. */
struct test_answer {
  int status = 0;
  std::string text;
  std::string verdict;
  std::string body;
  bool is_complete = false;
  int version = 0;
  int shard_count = 0;
  int results = 0;
  std::set<int> missing;
  std::map<int, std::string> bodies;

  /** Status 0 means that the connection failed or ended without an answer. */
  static test_answer Parse(const result<http_reply>& reply) {
    test_answer answer;
    answer.text = reply ? reply->body : reply.error().message;
    answer.status = reply ? reply->status : 0;
    const auto root = json_reader::ParseText(answer.text, "answer");
    if (!reply || !root) {
      return answer;
    }
    const Poco::JSON::Object& object = **root;
    answer.verdict = object.optValue<std::string>("verdict", "");
    answer.body = object.optValue<std::string>("body", "");
    answer.is_complete = object.optValue("complete", false);
    answer.version = object.optValue("snapshot_version", 0);
    answer.shard_count = object.optValue("shard_count", 0);
    if (const auto missing = object.getArray("shards_missing")) {
      for (unsigned i = 0; i < missing->size(); ++i) {
        answer.missing.insert(missing->getObject(i)->getValue<int>("shard"));
      }
    }
    if (const auto results = object.getArray("results")) {
      answer.results = static_cast<int>(results->size());
      for (unsigned i = 0; i < results->size(); ++i) {
        const auto item = results->getObject(i);
        answer.bodies[item->getValue<int>("shard")] = item->getValue<std::string>("body");
      }
    }
    return answer;
  }

  /**
   * Describes what is wrong with the answer to a query whose body is `request`, or returns "":
   * a shard that is both answered and missing or neither, a shard's result of another version or
   * request, or a wrong value of `complete`.
   */
  std::string FindError(const std::string& request) const {
    if (verdict != "ran") {
      return bodies.empty() ? "" : "results although the verdict is not ran";
    }
    for (const auto& [shard, shard_body] : bodies) {
      if (shard_body !=
          "shard " + std::to_string(shard) + " of " + std::to_string(version) + ": " + request) {
        return "shard " + std::to_string(shard) + " has the body \"" + shard_body + "\"";
      }
    }
    for (int shard = 0; shard < shard_count; ++shard) {
      if (bodies.contains(shard) == missing.contains(shard)) {
        return "shard " + std::to_string(shard) + " is both answered and missing, or neither";
      }
    }
    if (results != static_cast<int>(bodies.size()) ||
        bodies.size() + missing.size() != static_cast<std::size_t>(shard_count)) {
      return "a shard is duplicated or out of range";
    }
    return is_complete == missing.empty() ? "" : "complete does not match the missing shards";
  }
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TESTS_SERVER_TEST_ANSWER_H_
