#include "platform/object_client.hpp"

#include <utility>

namespace shuntbank {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kWatchTimeoutMargin = std::chrono::seconds(5);
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;

tl::expected<std::optional<VersionedValue>, PlatformError> parse_object_reply(
    const tl::expected<HttpReply, TransferError>& reply) {
  if (!reply) return tl::make_unexpected(PlatformError::kUnavailable);
  if (reply->status == kNotFound || reply->status == kNoContent) return std::nullopt;
  if (reply->status == kTooManyRequests) {
    return tl::make_unexpected(PlatformError::kTooManyReaders);
  }
  const auto json = nlohmann::json::parse(reply->body, nullptr, false);
  const bool usable = reply->status == 200 && json.is_object() && json.contains("value") &&
                      json.contains("version") && json["version"].is_number_unsigned();
  if (!usable) return tl::make_unexpected(PlatformError::kUnavailable);
  return VersionedValue{json["version"].get<std::uint64_t>(), json["value"]};
}

tl::expected<WriteResult, PlatformError> parse_write_reply(
    const tl::expected<HttpReply, TransferError>& reply) {
  if (!reply) return tl::make_unexpected(PlatformError::kUnavailable);
  const auto json = nlohmann::json::parse(reply->body, nullptr, false);
  const bool answered = reply->status == 200 || reply->status == kConflict;
  if (!answered || !json.is_object()) return tl::make_unexpected(PlatformError::kUnavailable);
  return WriteResult{reply->status == 200, json.value("version", std::uint64_t{0})};
}

tl::expected<std::vector<Machine>, PlatformError> parse_machines_reply(
    const tl::expected<HttpReply, TransferError>& reply) {
  if (!reply || reply->status != 200) return tl::make_unexpected(PlatformError::kUnavailable);
  const auto json = nlohmann::json::parse(reply->body, nullptr, false);
  if (!json.is_object()) return tl::make_unexpected(PlatformError::kUnavailable);
  std::vector<Machine> machines;
  for (const auto& item : json.value("machines", nlohmann::json::array())) {
    if (!item.is_object()) continue;
    machines.push_back({item.value("name", ""), item.value("kind", ""), item.value("address", ""),
                        item.value("state", "live") == "leaving"});
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
