#include "relay/quarantine_api.hpp"

#include <nlohmann/json.hpp>

#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

constexpr std::string_view kList = "/quarantine";
constexpr std::string_view kOne = "/quarantine/";

HttpReply reply_of(int status, const nlohmann::json& body) {
  HttpReply reply;
  reply.status = status;
  reply.headers.add("Content-Type", "application/json");
  reply.body = body.dump() + "\n";
  return reply;
}

HttpReply list(const Quarantine& quarantine) {
  nlohmann::json held = nlohmann::json::array();
  for (const QuarantinedRequest& entry : quarantine.held()) {
    held.push_back({{"identity", to_text(entry.request)},
                    {"engines_ended", entry.crashed_engines.size()},
                    {"callers", entry.callers.size()},
                    {"from_all_callers", entry.applies_to_all_callers()},
                    {"left_s", to_seconds(entry.time_left)}});
  }
  return reply_of(http_status::kOk, {{"held", std::move(held)}});
}

HttpReply let_go(std::string_view identity, Quarantine& quarantine) {
  const auto request = parse_digest(identity);
  if (!request) return reply_of(http_status::kBadRequest, {{"error", "not an identity"}});
  if (quarantine.lift(*request)) return reply_of(http_status::kOk, {{"let_go", identity}});
  return reply_of(http_status::kNotFound, {{"error", "it is not held back"}});
}

}  // namespace

bool is_quarantine_path(std::string_view path) {
  return path == kList || path.substr(0, kOne.size()) == kOne;
}

HttpReply answer_quarantine(const HttpRequest& request, Quarantine& quarantine) {
  const std::string_view path = request.path;
  if (request.method == "GET" && path == kList) return list(quarantine);
  if (request.method == "DELETE" && path != kList) {
    return let_go(path.substr(kOne.size()), quarantine);
  }
  return reply_of(http_status::kBadRequest, {{"error", "GET the list, or DELETE one of it"}});
}

}  // namespace shuntbank::relay
