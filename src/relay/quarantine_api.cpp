#include "relay/quarantine_api.hpp"

#include <nlohmann/json.hpp>

#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

constexpr std::string_view kListPath = "/quarantine";
constexpr std::string_view kEntryPrefix = "/quarantine/";

HttpReply json_reply(int status, const nlohmann::json& body) {
  HttpReply reply;
  reply.status = status;
  reply.headers.add("Content-Type", "application/json");
  reply.body = body.dump() + "\n";
  return reply;
}

HttpReply list_quarantined(const Quarantine& quarantine) {
  nlohmann::json entries = nlohmann::json::array();
  for (const QuarantinedRequest& entry : quarantine.quarantined()) {
    const bool part = is_prompt_part(entry.request);
    entries.push_back({{"identity", to_text(entry.request)},
                       {"kind", part ? "prompt part" : "request"},
                       {"part", part ? part_text(entry.request) : std::string()},
                       {"engines_ended", entry.crashed_engines.size()},
                       {"callers", entry.callers.size()},
                       {"from_all_callers", entry.applies_to_all_callers()},
                       {"left_s", to_seconds(entry.time_left)}});
  }
  return json_reply(http_status::kOk, {{"held", std::move(entries)}});
}

HttpReply release(std::string_view identity, Quarantine& quarantine) {
  const auto request = parse_digest(identity);
  if (!request) return json_reply(http_status::kBadRequest, {{"error", "not an identity"}});
  if (quarantine.release(*request)) return json_reply(http_status::kOk, {{"let_go", identity}});
  return json_reply(http_status::kNotFound, {{"error", "it is not held back"}});
}

}  // namespace

bool is_quarantine_path(std::string_view path) {
  return path == kListPath || path.substr(0, kEntryPrefix.size()) == kEntryPrefix;
}

HttpReply answer_quarantine(const HttpRequest& request, Quarantine& quarantine) {
  const std::string_view path = request.path;
  if (request.method == "GET" && path == kListPath) return list_quarantined(quarantine);
  if (request.method == "DELETE" && path != kListPath) {
    return release(path.substr(kEntryPrefix.size()), quarantine);
  }
  return json_reply(http_status::kBadRequest, {{"error", "GET the list, or DELETE one of it"}});
}

}  // namespace shuntbank::relay
