#include "platform/object_client.hpp"

#include <utility>

#include "common/json_parsing.hpp"

namespace shuntbank {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kWatchTimeoutMargin = std::chrono::seconds(5);
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;

/// @return the body; null if it is malformed.
nlohmann::json document_of(const HttpReply& reply) {
  return parse_json(reply.body).value_or(nlohmann::json());
}

/// @return nothing if a field has another type.
std::optional<Machine> to_machine(const nlohmann::json& item) {
  try {
    return Machine{item.value("name", ""), item.value("kind", ""), item.value("address", ""),
                   item.value("state", "live") == "leaving"};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

tl::expected<std::optional<VersionedValue>, PlatformError> parse_object_reply(
    const tl::expected<HttpReply, TransferError>& reply) {
  if (!reply) return tl::make_unexpected(PlatformError::kUnavailable);
  if (reply->status == kNotFound || reply->status == kNoContent) return std::nullopt;
  if (reply->status == kTooManyRequests) {
    return tl::make_unexpected(PlatformError::kTooManyReaders);
  }
  const nlohmann::json json = document_of(*reply);
  const bool usable = reply->status == 200 && json.is_object() && json.contains("value") &&
                      json.contains("version") && json["version"].is_number_unsigned();
  if (!usable) return tl::make_unexpected(PlatformError::kUnavailable);
  return VersionedValue{json["version"].get<std::uint64_t>(), json["value"]};
}

tl::expected<WriteResult, PlatformError> parse_write_reply(
    const tl::expected<HttpReply, TransferError>& reply) {
  if (!reply) return tl::make_unexpected(PlatformError::kUnavailable);
  const nlohmann::json json = document_of(*reply);
  const bool answered = reply->status == 200 || reply->status == kConflict;
  const bool usable = answered && json.is_object() &&
                      (!json.contains("version") || json["version"].is_number_unsigned());
  if (!usable) return tl::make_unexpected(PlatformError::kUnavailable);
  return WriteResult{reply->status == 200, json.value("version", std::uint64_t{0})};
}

tl::expected<std::vector<Machine>, PlatformError> parse_machines_reply(
    const tl::expected<HttpReply, TransferError>& reply) {
  if (!reply || reply->status != 200) return tl::make_unexpected(PlatformError::kUnavailable);
  const nlohmann::json json = document_of(*reply);
  if (!json.is_object()) return tl::make_unexpected(PlatformError::kUnavailable);
  std::vector<Machine> machines;
  const auto items = json.find("machines");
  if (items == json.end()) return machines;
  if (!items->is_array()) return tl::make_unexpected(PlatformError::kUnavailable);
  for (const nlohmann::json& item : *items) {
    if (auto machine = to_machine(item)) machines.push_back(std::move(*machine));
  }
  return machines;
}

}  // namespace

ObjectClient::ObjectClient(HttpClient& http, std::string address)
    : http_(http), base_url_("http://" + std::move(address)) {}

void ObjectClient::read_url(const std::string& url, Duration timeout, ReadHandler handler) {
  OutgoingRequest request;
  request.url = url;
  request.total_timeout = timeout;
  http_.fetch(std::move(request), [handler = std::move(handler)](const auto& reply) {
    handler(parse_object_reply(reply));
  });
}

void ObjectClient::read(const std::string& key, ReadHandler handler) {
  read_url(base_url_ + "/objects?key=" + key, kCallTimeout, std::move(handler));
}

void ObjectClient::watch(const std::string& key, std::uint64_t from, ReadHandler handler) {
  read_url(base_url_ + "/watch?key=" + key + "&from=" + std::to_string(from),
           kWatchTime + kWatchTimeoutMargin, std::move(handler));
}

void ObjectClient::write(const std::string& key, std::uint64_t expected_version,
                         const nlohmann::json& value, WriteHandler handler) {
  OutgoingRequest request;
  request.method = "PUT";
  request.url = base_url_ + "/objects?key=" + key;
  request.headers.add("Content-Type", "application/json");
  request.body = nlohmann::json{{"expected_version", expected_version}, {"value", value}}.dump();
  request.total_timeout = kCallTimeout;
  http_.fetch(std::move(request), [handler = std::move(handler)](const auto& reply) {
    handler(parse_write_reply(reply));
  });
}

void ObjectClient::list_machines(MachinesHandler handler) {
  OutgoingRequest request;
  request.url = base_url_ + "/machines";
  request.total_timeout = kCallTimeout;
  http_.fetch(std::move(request), [handler = std::move(handler)](const auto& reply) {
    handler(parse_machines_reply(reply));
  });
}

}  // namespace shuntbank
