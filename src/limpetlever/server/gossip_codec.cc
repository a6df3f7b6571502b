#include "server/gossip_codec.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <limits>
#include <sstream>

#include "base/json_reader.h"

namespace limpetlever {

namespace {

constexpr auto kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr int kMaxShards = 100'000;
// One hour; longer values cannot be latencies.
constexpr std::int64_t kMaxTypicalLatencyUs = 3'600'000'000;

std::string FormatJson(const Poco::JSON::Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

Poco::JSON::Array::Ptr WriteVersions(const std::vector<held_version>& versions) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const held_version& held : versions) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("version", held.version);
    object->set("shard_count", held.shard_count);
    Poco::JSON::Array::Ptr shards = new Poco::JSON::Array;
    for (const int shard : held.shards) {
      shards->add(shard);
    }
    object->set("shards", shards);
    array->add(object);
  }
  return array;
}

}  // namespace

std::string FormatReplicaStatuses(const std::vector<replica_status>& statuses) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const replica_status& status : statuses) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("address", status.address);
    object->set("instance_id", status.instance_id);
    object->set("usable", status.usable);
    object->set("limit", status.limit);
    object->set("cold", status.cold);
    object->set("versions", WriteVersions(status.versions));
    object->set("usual_us", status.reference_latency.count());
    array->add(object);
  }
  Poco::JSON::Object root;
  root.set("statuses", array);
  return FormatJson(root);
}

result<std::vector<replica_status>> ParseReplicaStatuses(const std::string& text) {
  const auto root = json_reader::ParseText(text, "statuses");
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  std::vector<replica_status> statuses;
  for (json_reader& element : in.ObjectsOrEmpty("statuses")) {
    replica_status status{
        .address = element.String("address"),
        .instance_id = element.String("instance_id"),
        .usable = element.BoolOr("usable", false),
        .limit = static_cast<int>(element.Integer("limit", 0, 1'000'000)),
        .cold = element.BoolOr("cold", true),
        .versions = {},
        .reference_latency = duration(element.IntegerOr("usual_us", 0, kMaxTypicalLatencyUs, 0))};
    for (json_reader& version : element.ObjectsOrEmpty("versions")) {
      status.versions.push_back(
          {.version = version.Integer("version", 0, kMaxInteger),
           .shard_count = static_cast<int>(version.Integer("shard_count", 1, kMaxShards)),
           .shards = version.IntegersOrEmpty("shards", 0, kMaxShards)});
      element.TakeErrorFrom(version);
    }
    in.TakeErrorFrom(element);
    statuses.push_back(std::move(status));
  }
  if (const auto error = in.Finish()) {
    return *error;
  }
  return statuses;
}

std::string FormatOwnershipViews(const std::vector<ownership_view>& views) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const ownership_view& view : views) {
    Poco::JSON::Array::Ptr members = new Poco::JSON::Array;
    for (const view_member& host : view.members) {
      Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
      object->set("name", host.name);
      object->set("data_centre", host.data_centre);
      object->set("incarnation", host.incarnation);
      members->add(object);
    }
    Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
    item->set("epoch", view.epoch);
    item->set("members", members);
    array->add(item);
  }
  Poco::JSON::Object root;
  root.set("views", array);
  return FormatJson(root);
}

result<std::vector<ownership_view>> ParseOwnershipViews(const std::string& text) {
  const auto root = json_reader::ParseText(text, "views");
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  std::vector<ownership_view> views;
  for (json_reader& item : in.ObjectsOrEmpty("views")) {
    ownership_view view{.epoch = item.Integer("epoch", 0, kMaxInteger), .members = {}};
    for (json_reader& element : item.ObjectsOrEmpty("members")) {
      view.members.push_back({.name = element.String("name"),
                              .data_centre = element.String("data_centre"),
                              .incarnation = element.Integer("incarnation", 0, kMaxInteger)});
      item.TakeErrorFrom(element);
    }
    in.TakeErrorFrom(item);
    views.push_back(std::move(view));
  }
  if (views.empty()) {
    in.Fail("views", "must have at least one view");
  }
  if (const auto error = in.Finish()) {
    return *error;
  }
  return views;
}

}  // namespace limpetlever
