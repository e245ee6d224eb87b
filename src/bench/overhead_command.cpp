#include "bench/overhead_command.hpp"

#include <unistd.h>

#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "bench/load_generator.hpp"
#include "ctl/table.hpp"
#include "net/http_client.hpp"
#include "net/monotonic_timer.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

/// Wait between opening the streams and reading the memory use.
constexpr Duration kSettleTime = std::chrono::seconds(2);

struct OverheadSettings {
  std::string engine;  ///< `IP:PORT` of an idle engine.
  std::string node;    ///< `IP:PORT` of the node's callers' interface.
  std::uint64_t node_pid = 0;
  std::string key;
  std::string idle_model;  ///< Served by the idle engine.
  std::string busy_model;  ///< Served by the engine of the open streams.
  std::uint64_t streams = 1000;
  std::uint64_t rounds = 2000;
  Duration relay_duration = std::chrono::seconds(5);
};

/// CPU seconds used by a process so far.
double cpu_seconds(std::uint64_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  // Skips the program's name, which is in parentheses and may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Resident memory of a process in bytes.
double resident_bytes(std::uint64_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

class OverheadRun {
 public:
  explicit OverheadRun(const OverheadSettings& settings)
      : settings_(settings), loop_(1), http_(loop_), timer_(loop_) {}

  void measure(std::ostream& output) {
    const double memory_before = resident_bytes(settings_.node_pid);
    open_streams(settings_.streams);
    wait_until([this] { return streams_started_ >= settings_.streams; });
    pause(kSettleTime);
    const double memory_after = resident_bytes(settings_.node_pid);
    const std::size_t open_count = streams_started_;
    compare_first_tokens();
    measure_relay();
    print(output, open_count,
          (memory_after - memory_before) / static_cast<double>(settings_.streams));
  }

 private:
  OutgoingRequest make_completion(const std::string& address, const std::string& model,
                                  std::uint32_t tokens) const {
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + address + "/v1/completions";
    request.headers.add("Authorization", "Bearer " + settings_.key);
    request.headers.add("Content-Type", "application/json");
    request.body =
        json{{"model", model}, {"prompt", "x"}, {"max_tokens", tokens}, {"stream", true}}.dump();
    return request;
  }

  void open_streams(std::uint64_t count) {
    constexpr std::uint32_t kMaxOutputTokens = 32'000;
    for (std::uint64_t i = 0; i < count; ++i) {
      TransferHandlers handlers;
      handlers.on_headers = [this](int status, const HttpHeaders&) {
        if (status == 200) ++streams_started_;
      };
      handlers.on_data = [this](std::string_view data) {
        count_chunks(data);
        return true;
      };
      handlers.on_done = [this](const auto&) { ++streams_ended_; };
      http_.start(make_completion(settings_.node, settings_.busy_model, kMaxOutputTokens),
                  std::move(handlers));
    }
  }

  void count_chunks(std::string_view data) {
    constexpr std::string_view kDataPrefix = "data: ";
    for (std::size_t at = data.find(kDataPrefix); at != std::string_view::npos;
         at = data.find(kDataPrefix, at + 1)) {
      ++chunks_;
    }
  }

  double measure_first_token(const std::string& address) {
    const MonotonicTime sent = monotonic_now();
    double first = 0;
    bool done = false;
    TransferHandlers handlers;
    handlers.on_data = [&](std::string_view) {
      if (first == 0) first = to_seconds(monotonic_now() - sent);
      return true;
    };
    handlers.on_done = [&](const auto&) { done = true; };
    http_.start(make_completion(address, settings_.idle_model, 2), std::move(handlers));
    while (!done) loop_.run_one();
    return first;
  }

  void compare_first_tokens() {
    for (std::uint64_t i = 0; i < settings_.rounds; ++i) {
      direct_seconds_.push_back(measure_first_token(settings_.engine));
      through_node_seconds_.push_back(measure_first_token(settings_.node));
    }
  }

  void measure_relay() {
    const double cpu_before = cpu_seconds(settings_.node_pid);
    const std::uint64_t chunks_before = chunks_;
    const MonotonicTime start = monotonic_now();
    pause(settings_.relay_duration);
    relay_seconds_ = to_seconds(monotonic_now() - start);
    relay_chunks_ = static_cast<double>(chunks_ - chunks_before);
    relay_cpu_seconds_ = cpu_seconds(settings_.node_pid) - cpu_before;
  }

  void pause(Duration duration) {
    bool expired = false;
    timer_.expires_after(duration);
    timer_.async_wait([&expired](const std::error_code&) { expired = true; });
    while (!expired) loop_.run_one();
  }

  template <typename Condition>
  void wait_until(Condition condition) {
    const MonotonicTime deadline = monotonic_now() + std::chrono::seconds(60);
    while (!condition() && monotonic_now() < deadline) pause(std::chrono::milliseconds(50));
  }

  void print(std::ostream& output, std::size_t open_count, double bytes_per_stream) const {
    const auto microseconds = [](double seconds) {
      std::ostringstream text;
      text << std::fixed << std::setprecision(0) << seconds * 1e6 << " us";
      return text.str();
    };
    Table table({"MEASURE", "DIRECT", "THROUGH A NODE", "ADDED"});
    for (const double q : {0.5, 0.99}) {
      const double direct = percentile(direct_seconds_, q);
      const double through_node = percentile(through_node_seconds_, q);
      table.add({"first token p" + std::to_string(static_cast<int>(q * 100)), microseconds(direct),
                 microseconds(through_node), microseconds(through_node - direct)});
    }
    table.print(output);
    output << "\nopen streams: " << open_count << " (ended early: " << streams_ended_ << ")\n"
           << "memory per stream: " << std::llround(bytes_per_stream / 1024) << " KiB\n"
           << "relayed chunks: " << std::llround(relay_chunks_ / relay_seconds_) << "/s; node used "
           << std::setprecision(2) << relay_cpu_seconds_ / relay_seconds_ << " cores\n"
           << "relayed chunks per core second: " << std::llround(relay_chunks_ / relay_cpu_seconds_)
           << "\n";
  }

  const OverheadSettings& settings_;
  asio::io_context loop_;
  CurlHttpClient http_;
  MonotonicTimer timer_;
  std::size_t streams_started_ = 0;
  std::size_t streams_ended_ = 0;
  std::uint64_t chunks_ = 0;
  std::vector<double> direct_seconds_;
  std::vector<double> through_node_seconds_;
  double relay_seconds_ = 1;
  double relay_chunks_ = 0;
  double relay_cpu_seconds_ = 1;
};

}  // namespace

ExitCode run_overhead_command(const std::vector<std::string>& arguments, std::ostream& output,
                              std::ostream& errors) {
  OverheadSettings settings;
  OptionSet options("shuntbank-bench overhead [options]");
  options.add_text("engine", settings.engine, "IP:PORT of an idle engine.");
  options.add_text("node", settings.node, "IP:PORT of the node's callers' interface.");
  options.add_unsigned("node-pid", settings.node_pid, 1, UINT32_MAX, "Process id of the node.");
  options.add_text("key", settings.key, "Tenant key.");
  options.add_text("idle-model", settings.idle_model, "Model of the idle engine.");
  options.add_text("busy-model", settings.busy_model, "Model of the open streams.");
  for (const char* name : {"engine", "node", "node-pid", "key", "idle-model", "busy-model"}) {
    options.require(name);
  }
  options.add_unsigned("streams", settings.streams, 0, 100'000, "Concurrently open streams.");
  options.add_unsigned("rounds", settings.rounds, 10, 1'000'000,
                       "Requests sent directly and through the node, each.");
  options.add_duration("relay-time", settings.relay_duration, std::chrono::seconds(1),
                       std::chrono::hours(1), "Time over which chunks are counted.");
  const OptionsOutcome outcome = options.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  OverheadRun(settings).measure(output);
  return ExitCode::kSuccess;
}

}  // namespace shuntbank
