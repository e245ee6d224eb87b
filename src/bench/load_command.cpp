#include "bench/load_command.hpp"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "bench/load_generator.hpp"
#include "ctl/table.hpp"
#include "net/blocking_client.hpp"

namespace shuntbank {
namespace {

std::string format_milliseconds(double seconds) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << seconds * 1000 << " ms";
  return text.str();
}

std::string format_rate(double value) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << value << "/s";
  return text.str();
}

/// @return confirmed role changes, summed over all given nodes; skips nodes that do not answer.
std::uint64_t count_role_changes(const std::vector<std::string>& operator_addresses) {
  std::uint64_t changes = 0;
  for (const std::string& address : operator_addresses) {
    OutgoingRequest request;
    request.url = "http://" + address + "/v1/status";
    request.total_timeout = std::chrono::seconds(5);
    const auto reply = fetch_blocking(std::move(request));
    if (!reply) continue;
    const auto status = nlohmann::json::parse(reply->body, nullptr, false);
    for (const auto& duty : status.value("duties", nlohmann::json::array())) {
      changes += duty.value("role_changes", std::uint64_t{0});
    }
  }
  return changes;
}

void print_report(std::ostream& output, const LoadReport& report, std::uint64_t role_changes) {
  Table table({"MEASURE", "VALUE"});
  table.add({"requests", std::to_string(report.sent)});
  table.add({"completed answers", std::to_string(report.completed)});
  table.add({"mismatched answers", std::to_string(report.mismatched)});
  table.add({"truncated answers", std::to_string(report.truncated)});
  for (const auto& [error, count] : report.errors)
    table.add({"error " + error, std::to_string(count)});
  table.add({"goodput", format_rate(report.goodput())});
  for (const double q : {0.5, 0.95, 0.99}) {
    const std::string name = "p" + std::to_string(static_cast<int>(q * 100));
    table.add(
        {"first token " + name, format_milliseconds(percentile(report.first_token_seconds, q))});
  }
  table.add(
      {"between tokens p95", format_milliseconds(percentile(report.between_tokens_seconds, 0.95))});
  table.add({"role changes", std::to_string(role_changes)});
  table.print(output);
}

}  // namespace

ExitCode run_load_command(const std::vector<std::string>& arguments, std::ostream& output,
                          std::ostream& errors) {
  LoadSettings settings;
  std::vector<std::string> operator_addresses;
  bool strict = false;
  OptionSet options("shuntbank-bench load [options]");
  options.add_text_list("target", settings.targets, "IP:PORT of a callers' interface.");
  options.add_text_list("operators", operator_addresses,
                        "IP:PORT of an operators' interface, to count role changes.");
  options.add_text("key", settings.key, "Tenant key.");
  options.require("key");
  options.add_text("model", settings.model, "Model to request.");
  options.add_text("service-path", settings.service_path,
                   "Path of a plain service to call instead.");
  options.add("phase", "LENGTH:RATE:PROMPT:OUTPUT, tokens. May be repeated.", "",
              [&settings](const std::string& text) -> tl::expected<void, std::string> {
                const auto phase = parse_phase(text);
                if (!phase) return tl::make_unexpected(phase.error());
                settings.phases.push_back(*phase);
                return {};
              });
  options.add_flag("stream", settings.stream, "Ask for streamed answers.");
  options.add_flag("strict", strict, "Fail unless every answer is complete.");
  options.add_unsigned("seed", settings.seed, 0, UINT64_MAX, "Seed of arrivals and prompts.");
  options.add_duration("first-token-target", settings.first_token_target, Duration(1),
                       std::chrono::hours(1), "Latency target that counts as good.");
  options.add_duration("between-tokens-target", settings.between_tokens_target, Duration(1),
                       std::chrono::hours(1), "Latency target that counts as good.");
  const OptionsOutcome outcome = options.read(arguments, output, errors, [&settings] {
    Findings findings;
    if (settings.targets.empty()) findings.add("--target", "is required");
    if (settings.phases.empty()) findings.add("--phase", "is required");
    if (settings.model.empty() == settings.service_path.empty()) {
      findings.add("--model", "give either --model or --service-path");
    }
    return findings;
  });
  if (!outcome.run) return outcome.code;
  const LoadReport report = run_load(settings);
  print_report(output, report, count_role_changes(operator_addresses));
  const bool failed =
      report.mismatched > 0 || report.truncated > 0 || (strict && report.completed != report.sent);
  return failed ? ExitCode::kFailure : ExitCode::kSuccess;
}

}  // namespace shuntbank
