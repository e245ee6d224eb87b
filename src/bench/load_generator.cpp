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

/// Share of a prompt that it has in common with others of its history.
constexpr double kSharedShare = 0.75;

std::string repeat_text(const std::string& unit, std::size_t size) {
  std::string text;
  text.reserve(size + unit.size());
  while (text.size() < size) text += unit;
  text.resize(size);
  return text;
}

/// One request on its way and what came back so far.
struct Call {
  std::string prompt;
  std::uint32_t output_tokens = 0;
  MonotonicTime sent{};
  std::optional<MonotonicTime> first_token;
  MonotonicTime last_token{};
  int status = 0;
  std::string text;
  std::string raw;
  std::string error;
  bool done = false;
  EventStreamSplitter splitter;
};

class LoadRun {
 public:
  explicit LoadRun(const LoadSettings& settings)
      : settings_(settings), loop_(1), http_(loop_), timer_(loop_), random_(settings.seed) {}

  LoadReportCard run() {
    started_ = monotonic_now();
    phase_began_ = started_;
    next_arrival_ = started_;
    schedule();
    loop_.run();
    card_.elapsed_seconds = to_seconds(monotonic_now() - started_);
    return std::move(card_);
  }

 private:
  void schedule() {
    while (phase_ < settings_.phases.size() &&
           next_arrival_ >= phase_began_ + settings_.phases[phase_].length) {
      phase_began_ += settings_.phases[phase_].length;
      ++phase_;
    }
    if (phase_ == settings_.phases.size()) return stop_if_idle();
    timer_.expires_at(next_arrival_);
    timer_.async_wait([this](const std::error_code& error) {
      if (error) return;
      send(settings_.phases[phase_]);
      std::exponential_distribution<double> gap(settings_.phases[phase_].requests_per_second);
      next_arrival_ += from_seconds(gap(random_));
      schedule();
    });
  }

  void stop_if_idle() {
    finished_sending_ = true;
    if (open_ == 0) loop_.stop();
  }

  std::string make_prompt(const LoadPhase& phase) {
    const std::size_t size = phase.prompt_tokens * kCharactersPerToken;
    const std::uint64_t history = random_() % std::max<std::uint64_t>(1, settings_.shared_prefixes);
    const auto shared = static_cast<std::size_t>(kSharedShare * static_cast<double>(size));
    const std::string begin = repeat_text("history " + std::to_string(history) + " ", shared);
    return begin + repeat_text("request " + std::to_string(++count_) + " ", size - shared);
  }

  void send(const LoadPhase& phase) {
    auto call = std::make_shared<Call>();
    call->prompt = make_prompt(phase);
    call->output_tokens = phase.output_tokens;
    call->sent = monotonic_now();
    ++card_.sent;
    ++open_;
    TransferHandlers handlers;
    handlers.on_headers = [call](int status, const HttpHeaders&) { call->status = status; };
    handlers.on_data = [this, call](std::string_view piece) {
      on_data(*call, piece);
      return true;
    };
    handlers.on_done = [this, call](const auto& result) {
      if (!result) call->error = "transport: " + result.error().message;
      finish(*call);
    };
    http_.start(outgoing(*call), std::move(handlers));
  }

  OutgoingRequest outgoing(const Call& call) {
    OutgoingRequest request;
    const std::string& target = settings_.targets[count_ % settings_.targets.size()];
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

  void on_data(Call& call, std::string_view piece) {
    if (call.status != 200 || !settings_.stream || settings_.model.empty()) {
      call.raw += piece;
      return;
    }
    call.splitter.feed(piece, [&call](const ServerSentEvent& event) {
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

  void read_whole(Call& call) const {
    const json reply = json::parse(call.raw, nullptr, false);
    if (call.status != 200) {
      const bool known = reply.is_object() && reply.contains("error") && reply["error"].is_object();
      call.error =
          known ? reply["error"].value("code", "") + "/" + reply["error"].value("outcome", "")
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

  std::string expected(const Call& call) const {
    if (!settings_.model.empty()) return whole_answer(call.prompt, call.output_tokens);
    // The stand-in sees the path behind the service's name.
    const std::string prefix = "/services/";
    const std::size_t slash = settings_.service_path.find('/', prefix.size());
    return sha256_hex("POST " + settings_.service_path.substr(slash) + "\n" + call.prompt);
  }

  void finish(Call& call) {
    --open_;
    const bool streamed = settings_.stream && !settings_.model.empty() && call.status == 200;
    if (!streamed && call.error.empty()) read_whole(call);
    const std::string right = expected(call);
    if (call.done && call.error.empty() && call.text == right) {
      count_whole(call);
    } else if (right.compare(0, call.text.size(), call.text) != 0) {
      ++card_.crossed;
    } else if (!call.error.empty()) {
      ++card_.errors[call.error];
    } else {
      ++card_.cut;
    }
    if (finished_sending_ && open_ == 0) loop_.stop();
  }

  void count_whole(const Call& call) {
    ++card_.whole;
    const Duration first = *call.first_token - call.sent;
    card_.first_token_seconds.push_back(to_seconds(first));
    Duration between{0};
    if (call.output_tokens > 1) {
      between = (call.last_token - *call.first_token) / (call.output_tokens - 1);
      card_.between_tokens_seconds.push_back(to_seconds(between));
    }
    const bool good =
        first <= settings_.first_token_target && between <= settings_.between_tokens_target;
    if (good) ++card_.within_targets;
  }

  const LoadSettings& settings_;
  asio::io_context loop_;
  CurlHttpClient http_;
  MonotonicTimer timer_;
  std::mt19937_64 random_;
  LoadReportCard card_;
  MonotonicTime started_{};
  MonotonicTime phase_began_{};
  MonotonicTime next_arrival_{};
  std::size_t phase_ = 0;
  std::uint64_t count_ = 0;
  std::uint64_t open_ = 0;
  bool finished_sending_ = false;
};

}  // namespace

double LoadReportCard::goodput() const {
  return elapsed_seconds > 0 ? static_cast<double>(within_targets) / elapsed_seconds : 0;
}

double percentile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const auto last = static_cast<double>(values.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(std::llround(q * last));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

LoadReportCard run_load(const LoadSettings& settings) {
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
  const auto length = parse_duration(parts[0]);
  LoadPhase phase;
  const auto read = [](const std::string& part, auto& value) {
    const char* end = part.data() + part.size();
    const auto [rest, error] = std::from_chars(part.data(), end, value);
    return error == std::errc{} && rest == end && value > 0;
  };
  const bool valid = length && read(parts[1], phase.requests_per_second) &&
                     read(parts[2], phase.prompt_tokens) && read(parts[3], phase.output_tokens);
  if (!valid) return tl::make_unexpected("'" + text + "' is not LENGTH:RATE:PROMPT:OUTPUT");
  phase.length = *length;
  return phase;
}

}  // namespace shuntbank
