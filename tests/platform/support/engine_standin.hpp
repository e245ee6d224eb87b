/// @file
/// Fake engine for the platform's protocol, with fault injection.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/http1_server.hpp"
#include "platform/support/fault_proxy.hpp"
#include "platform/support/ledger.hpp"
#include "platform/support/store_standin.hpp"

namespace shuntbank::testing {

/// Static properties of an engine.
struct EngineShape {
  std::string service;
  bool model = false;
  std::string stage;  ///< Initial stage, `prefill` or `decode`; empty for plain engines.
  std::size_t slots = 48;
  std::chrono::milliseconds step_duration{10};  ///< Per event, or for a plain answer.
  /// Each start draws one of these; its events name it if there are several.
  std::vector<std::string> versions = {"v1"};

  bool operator==(const EngineShape&) const = default;
};

/// How an engine that reports itself healthy misbehaves.
enum class EngineFault {
  kNone,
  kErrors,
  kSheds,
  kHangs,
  kResets,
  kLosesAnswers,
  kLosesHandles,
  kUnmarkedStatuses  ///< Runs the request and answers 408, 429 or 503 without the mark.
};

/// One engine behind a fault proxy. Each restart is a new incarnation.
class EngineStandin {
 public:
  EngineStandin(asio::io_context& loop, StoreStandin& store, Ledger& ledger,
                const EngineShape& shape, std::uint64_t seed);
  ~EngineStandin();

  /// Starts a new incarnation and registers it.
  void start();

  /// Stops at once. The registration is removed after `removal_delay`.
  void crash(std::chrono::milliseconds removal_delay);

  /// Announces draining, and stops after `duration`.
  /// @param in_answers whether its answers say so too, beside its registration.
  void drain(std::chrono::milliseconds duration, bool in_answers = true);

  /// Removes the registration for `duration` while the engine keeps serving.
  void lapse_registration(std::chrono::milliseconds duration);

  /// Injects a fault into a share of the answers.
  void set_fault(EngineFault fault, double share);

  /// Announces a limit in requests per second; empty removes it.
  void set_limit(std::optional<double> per_second);

  /// Makes each step take `times` as long.
  void set_slowness(int times) { this->slowness = times; }

  /// @param crash stops the engine after a crashing request.
  /// @param is_undisturbed tells whether relays and store are free of faults.
  void set_crash_handlers(std::function<void()> crash, std::function<bool()> is_undisturbed) {
    this->crash_handler = std::move(crash);
    this->undisturbed = std::move(is_undisturbed);
  }

  /// The node may not have read the engine's last answer.
  void on_answer_hidden() { this->ledger.on_answer_hidden(this->id); }

  /// Notices of the engine may have been lost.
  void on_link_disturbed() { this->ledger.on_link_disturbed(this->id); }

  bool running() const { return this->server != nullptr; }
  /// @return whether the engine serves with this software version.
  bool serves_version(const std::string& wanted) const {
    return this->running() && this->state == "ready" && this->stage == "decode" &&
           this->version == wanted;
  }
  FaultProxy& link() { return *this->proxy; }

 private:
  using Responder = std::shared_ptr<ConnectionResponder>;

  /// A request being executed.
  struct Run {
    std::string id;
    Responder responder;
    std::unique_ptr<asio::steady_timer> timer;
    std::uint64_t next_event = 1;
    std::uint64_t last_event = 0;
    EngineFault fault = EngineFault::kNone;
  };
  using RunPointer = std::shared_ptr<Run>;

  void handle(const HttpRequest& request, const Responder& responder);
  void accept(const HttpRequest& request, const Responder& responder);
  void record_arrival(const HttpRequest& request, bool prefill_only);
  /// @return the status to refuse the request with, or nothing to accept it.
  std::optional<int> refusal_status(EngineFault drawn, bool prefill_only) const;
  void prefill(const HttpRequest& request, const Responder& responder);
  void report(const Responder& responder);
  void handle_order(const HttpRequest& request, const Responder& responder);
  void change_stage(const std::string& wanted);
  void start_run(const HttpRequest& request, const Responder& responder);
  void schedule_step(const RunPointer& run);
  void answer_plain(const RunPointer& run);
  void answer_unmarked(const RunPointer& run);
  void run_crashing_request(const HttpRequest& request, const RunPointer& run);
  void begin_stream(const RunPointer& run, const HttpRequest& request);
  void end_run(const RunPointer& run);
  void refuse(const HttpRequest& request, const Responder& responder, int status,
              bool shed = false);
  void add_cooldown(const std::string& request, HttpHeaders& fields);
  HttpHeaders fields(const std::string& id, const std::string& seal) const;
  EngineFault draw_fault();
  void publish();
  std::chrono::milliseconds scaled_step_duration() const {
    return this->shape.step_duration * this->slowness;
  }

  asio::io_context& loop;
  StoreStandin& store;
  Ledger& ledger;
  EngineShape shape;
  std::mt19937_64 random;
  std::mt19937_64 cooldown_random;  ///< Separate, so that it does not shift `random`.
  std::mt19937_64 version_random;   ///< The same.
  std::mt19937_64 status_random;    ///< The same.
  std::string version;
  std::unique_ptr<Http1Server> server;
  std::unique_ptr<FaultProxy> proxy;
  std::unique_ptr<asio::steady_timer> transition_timer;
  std::unique_ptr<asio::steady_timer> reregister_timer;  ///< After a lapse.
  std::string id;
  std::string stage;
  std::string state;
  std::uint64_t orders_accepted = 0;
  std::uint64_t highest_fence = 0;
  bool changing_stage = false;
  std::set<RunPointer> runs;
  EngineFault fault = EngineFault::kNone;
  std::function<void()> crash_handler;
  std::function<bool()> undisturbed;
  double fault_share = 0;
  std::optional<double> limit;
  int slowness = 1;
  bool drains_in_answers = true;
};

}  // namespace shuntbank::testing
