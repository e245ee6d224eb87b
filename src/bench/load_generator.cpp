#include "bench/load_generator.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "common/hash.hpp"
#include "common/units.hpp"
#include "engine/event_stream.hpp"
#include "net/monotonic_timer.hpp"
#include "standin/answer.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

constexpr std::size_t kCharactersPerToken = 4;

/// Share of a prompt that is a prefix shared with other prompts.
constexpr double kSharedPrefixShare = 0.75;

std::string repeat_text(const std::string& unit, std::size_t size) {
  std::string text;
  text.reserve(size + unit.size());
  while (text.size() < size) text += unit;
  text.resize(size);
  return text;
}

/// An in-flight request and the part of its answer received so far.
struct Call {
  std::string prompt;
  std::uint32_t output_tokens = 0;
  MonotonicTime sent{};
  std::optional<MonotonicTime> first_token;
  MonotonicTime last_token{};
  int status = 0;
  std::string text;
  std::string body;
  std::string error;
  bool done = false;
  EventStreamSplitter splitter;
};

class LoadRun {
 public:
  explicit LoadRun(const LoadSettings& settings)
      : settings_(settings), loop_(1), http_(loop_), timer_(loop_), random_(settings.seed) {}

  LoadReport run() {
    run_start_ = monotonic_now();
    phase_start_ = run_start_;
    next_arrival_ = run_start_;
    schedule();
    loop_.run();
    report_.elapsed_seconds = to_seconds(monotonic_now() - run_start_);
    return std::move(report_);
  }

 private:
  void schedule() {
    while (phase_index_ < settings_.phases.size() &&
           next_arrival_ >= phase_start_ + settings_.phases[phase_index_].duration) {
      phase_start_ += settings_.phases[phase_index_].duration;
      ++phase_index_;
    }
    if (phase_index_ == settings_.phases.size()) return stop_if_idle();
    timer_.expires_at(next_arrival_);
    timer_.async_wait([this](const std::error_code& error) {
      if (error) return;
      send(settings_.phases[phase_index_]);
      std::exponential_distribution<double> gap(settings_.phases[phase_index_].requests_per_second);
      next_arrival_ += from_seconds(gap(random_));
      schedule();
    });
  }

  void stop_if_idle() {
    finished_sending_ = true;
    if (in_flight_ == 0) loop_.stop();
  }

  std::string make_prompt(const LoadPhase& phase) {
    const std::size_t size = phase.prompt_tokens * kCharactersPerToken;
    const std::uint64_t history =
        random_() % std::max<std::uint64_t>(1, settings_.shared_prefix_count);
    const auto shared = static_cast<std::size_t>(kSharedPrefixShare * static_cast<double>(size));
    const std::string begin = repeat_text("history " + std::to_string(history) + " ", shared);
    return begin + repeat_text("request " + std::to_string(++sent_count_) + " ", size - shared);
  }

  void send(const LoadPhase& phase) {
    auto call = std::make_shared<Call>();
    call->prompt = make_prompt(phase);
    call->output_tokens = phase.output_tokens;
    call->sent = monotonic_now();
    ++report_.sent;
    ++in_flight_;
    TransferHandlers handlers;
    handlers.on_headers = [call](int status, const HttpHeaders&) { call->status = status; };
    handlers.on_data = [this, call](std::string_view data) {
      on_data(*call, data);
      return true;
    };
    handlers.on_done = [this, call](const auto& result) {
      if (!result) call->error = "transport: " + result.error().message;
      on_done(*call);
    };
    http_.start(make_request(*call), std::move(handlers));
  }

  OutgoingRequest make_request(const Call& call) {
    OutgoingRequest request;
    const std::string& target = settings_.targets[sent_count_ % settings_.targets.size()];
    request.method = "POST";
    request.headers.add("Authorization", "Bearer " + settings_.key);
    request.headers.add("Content-Type", "application/json");
    request.total_timeout = std::chrono::minutes(2);
    if (settings_.model.empty()) {
      request.url = "http://" + target + settings_.service_path;
      request.body = call.prompt;
      return request;
    }
    request.url = "http://" + target + "/v1/completions";
    request.body = json{{"model", settings_.model},
                        {"prompt", call.prompt},
                        {"max_tokens", call.output_tokens},
                        {"stream", settings_.stream}}
                       .dump();
    return request;
  }

  void on_data(Call& call, std::string_view data) {
    if (call.status != 200 || !settings_.stream || settings_.model.empty()) {
      call.body += data;
      return;
    }
    call.splitter.feed(data, [&call](const ServerSentEvent& event) {
      if (event.data == kDoneMarker) {
        call.done = true;
        return;
      }
      const json chunk = json::parse(event.data, nullptr, false);
      if (chunk.is_object() && chunk.contains("error")) {
        call.error = chunk["error"].value("code", "") + "/" + chunk["error"].value("outcome", "");
        return;
      }
      call.last_token = monotonic_now();
      if (!call.first_token) call.first_token = call.last_token;
      call.text += chunk["choices"][0].value("text", "");
    });
  }

  void parse_body(Call& call) const {
    const json reply = json::parse(call.body, nullptr, false);
    if (call.status != 200) {
      const bool has_error =
          reply.is_object() && reply.contains("error") && reply["error"].is_object();
      call.error =
          has_error ? reply["error"].value("code", "") + "/" + reply["error"].value("outcome", "")
                    : "status " + std::to_string(call.status);
      return;
    }
    call.last_token = monotonic_now();
    call.first_token = call.last_token;
    call.done = reply.is_object();
    if (!call.done) return;
    if (settings_.model.empty()) {
      call.text = reply.value("sha256", "");
    } else {
      call.text = reply["choices"][0].value("text", "");
    }
  }

  std::string expected_answer(const Call& call) const {
    if (!settings_.model.empty()) return whole_answer(call.prompt, call.output_tokens);
    // The stand-in receives the path without the service prefix.
    const std::string prefix = "/services/";
    const std::size_t slash = settings_.service_path.find('/', prefix.size());
    return sha256_hex("POST " + settings_.service_path.substr(slash) + "\n" + call.prompt);
  }

  void on_done(Call& call) {
    --in_flight_;
    const bool streamed = settings_.stream && !settings_.model.empty() && call.status == 200;
    if (!streamed && call.error.empty()) parse_body(call);
    const std::string expected_text = expected_answer(call);
    if (call.done && call.error.empty() && call.text == expected_text) {
      count_completed(call);
    } else if (expected_text.compare(0, call.text.size(), call.text) != 0) {
      ++report_.mismatched;
    } else if (!call.error.empty()) {
      ++report_.errors[call.error];
    } else {
      ++report_.truncated;
    }
    if (finished_sending_ && in_flight_ == 0) loop_.stop();
  }

  void count_completed(const Call& call) {
    ++report_.completed;
    const Duration first = *call.first_token - call.sent;
    report_.first_token_seconds.push_back(to_seconds(first));
    Duration between{0};
    if (call.output_tokens > 1) {
      between = (call.last_token - *call.first_token) / (call.output_tokens - 1);
      report_.between_tokens_seconds.push_back(to_seconds(between));
    }
    const bool good =
        first <= settings_.first_token_target && between <= settings_.between_tokens_target;
    if (good) ++report_.within_targets;
  }

  const LoadSettings& settings_;
  asio::io_context loop_;
  CurlHttpClient http_;
  MonotonicTimer timer_;
  std::mt19937_64 random_;
  LoadReport report_;
  MonotonicTime run_start_{};
  MonotonicTime phase_start_{};
  MonotonicTime next_arrival_{};
  std::size_t phase_index_ = 0;
  std::uint64_t sent_count_ = 0;
  std::uint64_t in_flight_ = 0;
  bool finished_sending_ = false;
};

}  // namespace

double LoadReport::goodput() const {
  return elapsed_seconds > 0 ? static_cast<double>(within_targets) / elapsed_seconds : 0;
}

double percentile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const auto last = static_cast<double>(values.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(std::llround(q * last));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

LoadReport run_load(const LoadSettings& settings) {
  return LoadRun(settings).run();
}

tl::expected<LoadPhase, std::string> parse_phase(const std::string& text) {
  std::array<std::string, 4> parts;
  std::size_t begin = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const std::size_t end = std::min(text.find(':', begin), text.size());
    parts.at(i) = text.substr(begin, end - begin);
    begin = std::min(end + 1, text.size());
  }
  const auto duration = parse_duration(parts[0]);
  LoadPhase phase;
  const auto read = [](const std::string& part, auto& value) {
    const char* end = part.data() + part.size();
    const auto [rest, error] = std::from_chars(part.data(), end, value);
    return error == std::errc{} && rest == end && value > 0;
  };
  const bool valid = duration && read(parts[1], phase.requests_per_second) &&
                     read(parts[2], phase.prompt_tokens) && read(parts[3], phase.output_tokens);
  if (!valid) return tl::make_unexpected("'" + text + "' is not LENGTH:RATE:PROMPT:OUTPUT");
  phase.duration = *duration;
  return phase;
}

}  // namespace shuntbank
