#include "transport/backend_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "base/errc.h"
#include "base/json_reader.h"
#include "transport/backend_connection.h"
#include "transport/backend_connections.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

constexpr duration kStatusTimeLimit = std::chrono::milliseconds(500);
// Connection limits until SetLimits is called with those of the operator table.
constexpr duration kDefaultConnectionCost = std::chrono::milliseconds(1);
constexpr std::size_t kDefaultConnections = 4;
// A longer response is treated as malformed and its connection is closed.
constexpr std::size_t kMaxResponseBytes = 4 * 1024 * 1024;

/** A backend server's HTTP response, or the reason why there is none. */
struct exchange_result {
  verdict outcome;
  Poco::Net::HTTPResponse response;
  std::string body;
  duration elapsed{};
};

std::int64_t ToDeadlineMs(duration time_limit) {
  return std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(time_limit).count());
}

Poco::Net::HTTPRequest MakeRequest(const attempt_request& attempt) {
  const std::string path =
      attempt.key.empty() ? "/shard/" + std::to_string(attempt.id.shard) : std::string("/submit");
  Poco::Net::HTTPRequest request("POST", path, Poco::Net::HTTPMessage::HTTP_1_1);
  request.set("X-Deadline-Ms", std::to_string(ToDeadlineMs(attempt.time_limit)));
  request.set("X-Snapshot-Version", std::to_string(attempt.snapshot_version));
  request.set("X-Attempt", std::to_string(attempt.id.ordinal));
  request.set("X-Request-Id", ToString(attempt.id));
  if (!attempt.key.empty()) {
    request.set("X-Idempotency-Key", attempt.key);
  }
  return request;
}

std::int64_t ParseNumber(const std::string& text) {
  std::int64_t number = -1;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/** Whether the response belongs to the attempt and not to another request. */
bool IsResponseTo(const attempt_request& attempt, const Poco::Net::HTTPResponse& response) {
  if (response.get("X-Request-Id", "") != ToString(attempt.id)) {
    return false;
  }
  return !attempt.key.empty() ||
         ParseNumber(response.get("X-Shard", "")) == static_cast<std::int64_t>(attempt.id.shard);
}

verdict ClassifyResponse(const attempt_request& attempt, const Poco::Net::HTTPResponse& response) {
  const int status = response.getStatus();
  if (!IsResponseTo(attempt, response)) {
    return MayHaveRun(errc::malformed_answer, "the response belongs to another request");
  }
  if (status == 200) {
    const std::int64_t version = ParseNumber(response.get("X-Snapshot-Version", ""));
    if (attempt.key.empty() && version != attempt.snapshot_version) {
      return MayHaveRun(errc::malformed_answer, "the response is of another snapshot version");
    }
    return Ran();
  }
  if (response.get("X-Not-Run", "") == "1") {
    return NotRun(status == 410 ? errc::version_gone : errc::shed);
  }
  return MayHaveRun(errc::backend_error, "status " + std::to_string(status));
}

/** Reads the response body; reports each block to `connections` as progress. */
std::string ReadBody(std::istream& in,
                     backend_connections& connections,
                     std::uint64_t generation,
                     instant deadline) {
  std::string body;
  std::array<char, 16'384> block;
  while (in.read(block.data(), block.size()) || in.gcount() > 0) {
    body.append(block.data(), static_cast<std::size_t>(in.gcount()));
    connections.OnBytes(generation);
    if (body.size() > kMaxResponseBytes) {
      throw Poco::ProtocolException("response body exceeds the size limit");
    }
    if (MonotonicNow() > deadline) {
      throw Poco::TimeoutException("response body incomplete at the deadline");
    }
  }
  return body;
}

exchange_result Exchange(backend_connections& connections,
                         Poco::Net::HTTPRequest& request,
                         const std::string& address,
                         const std::string& body,
                         duration time_limit) {
  exchange_result result;
  const instant deadline = MonotonicNow() + time_limit;
  auto acquired = connections.Acquire(deadline);
  if (!acquired) {
    result.outcome = NotRun(acquired.error().code, acquired.error().message);
    return result;
  }
  std::unique_ptr<backend_connection> connection = std::move(acquired.value());
  const std::uint64_t generation = connection->generation;
  const instant started = MonotonicNow();
  bool is_sent = false;
  std::error_code error = errc::connection_lost;
  std::string cause;
  try {
    const Poco::Timespan limit(std::max<std::int64_t>(1000, (deadline - started).count()));
    connection->session.setTimeout(limit, limit, limit);
    request.setKeepAlive(true);
    request.setHost(address);
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    is_sent = true;
    std::ostream& out = connection->session.sendRequest(request);
    out << body << std::flush;
    std::istream& in = connection->session.receiveResponse(result.response);
    connections.OnBytes(generation);
    result.body = ReadBody(in, connections, generation, deadline);
    result.elapsed = MonotonicNow() - started;
    result.outcome = Ran();
    if (result.response.getKeepAlive()) {
      connections.Release(std::move(connection));
    } else {
      connections.OnFailed(generation);
    }
    return result;
  } catch (const Poco::TimeoutException& exception) {
    error = errc::deadline_exceeded;
    cause = exception.displayText();
  } catch (const Poco::Net::MessageException& exception) {
    error = errc::malformed_answer;
    cause = exception.displayText();
  } catch (const Poco::ProtocolException& exception) {
    error = errc::malformed_answer;
    cause = exception.displayText();
  } catch (const Poco::Exception& exception) {
    cause = exception.displayText();
  }
  if (connections.OnFailed(generation)) {
    error = errc::connection_silent;
  }
  result.elapsed = MonotonicNow() - started;
  result.outcome = is_sent ? MayHaveRun(error, cause) : NotRun(errc::connection_failed, cause);
  return result;
}

}  // namespace

backend_client::backend_client() = default;
backend_client::~backend_client() = default;

std::shared_ptr<backend_connections> backend_client::FindOrCreateConnections(
    const std::string& address) {
  const std::lock_guard lock(mutex_);
  std::shared_ptr<backend_connections>& connections = servers_[address];
  if (!connections) {
    connections =
        std::make_shared<backend_connections>(address, kDefaultConnectionCost, kDefaultConnections);
  }
  return connections;
}

void backend_client::SetLimits(const std::string& address,
                               duration connection_cost,
                               std::size_t connections) {
  FindOrCreateConnections(address)->SetLimits(connection_cost, connections);
}

void backend_client::RemoveServer(const std::string& address) {
  const std::lock_guard lock(mutex_);
  servers_.erase(address);
}

backend_reply backend_client::Call(const attempt_request& attempt) {
  backend_reply reply;
  Poco::Net::HTTPRequest request = MakeRequest(attempt);
  exchange_result result = Exchange(*FindOrCreateConnections(attempt.replica), request,
                                    attempt.replica, *attempt.body, attempt.time_limit);
  reply.elapsed = result.elapsed;
  reply.outcome = result.outcome;
  if (result.outcome.state != run_state::ran) {
    return reply;
  }
  reply.outcome = ClassifyResponse(attempt, result.response);
  reply.snapshot_version = ParseNumber(result.response.get("X-Snapshot-Version", ""));
  reply.instance_id = result.response.get("X-Instance-Id", "");
  reply.body = std::move(result.body);
  return reply;
}

void backend_client::Cancel(const std::string& address, const attempt_id& id) {
  Poco::Net::HTTPRequest request("POST", "/cancel/" + ToString(id),
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  Exchange(*FindOrCreateConnections(address), request, address, "", kStatusTimeLimit);
}

result<backend_report> backend_client::Status(const std::string& address) {
  Poco::Net::HTTPRequest request("GET", "/status", Poco::Net::HTTPMessage::HTTP_1_1);
  const exchange_result reply =
      Exchange(*FindOrCreateConnections(address), request, address, "", kStatusTimeLimit);
  if (reply.outcome.state != run_state::ran) {
    return failure{reply.outcome.error, reply.outcome.detail};
  }
  if (reply.response.getStatus() != 200) {
    return failure{errc::backend_error,
                   address + ": status " + std::to_string(reply.response.getStatus())};
  }
  const auto root = json_reader::ParseText(reply.body, address);
  if (!root) {
    return root.error();
  }
  constexpr std::int64_t kMaxShards = 100'000;
  constexpr auto kMaxInteger = std::numeric_limits<std::int64_t>::max();
  json_reader in(*root, "");
  backend_report report{.instance_id = in.String("instance_id"),
                        .draining = in.BoolOr("draining", false),
                        .load = in.NumberOr("load", 0.0, 1e9, 0.0),
                        .slots = static_cast<int>(in.IntegerOr("slots", 0, 1'000'000, 0)),
                        .versions = {}};
  for (json_reader& version : in.ObjectsOrEmpty("versions")) {
    held_version held{
        .version = version.Integer("version", 0, kMaxInteger),
        .shard_count = static_cast<int>(version.Integer("shard_count", 1, kMaxShards)),
        .shards = version.IntegersOrEmpty("shards", 0, kMaxShards)};
    in.TakeErrorFrom(version);
    report.versions.push_back(std::move(held));
  }
  if (const auto error = in.Finish()) {
    return failure{error->code, address + ": " + error->message};
  }
  return report;
}

int backend_client::CloseSilentConnections() {
  std::vector<std::shared_ptr<backend_connections>> servers;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [address, connections] : servers_) {
      servers.push_back(connections);
    }
  }
  int silent = 0;
  for (const auto& connections : servers) {
    silent += connections->Check(MonotonicNow());
  }
  return silent;
}

}  // namespace limpetlever
