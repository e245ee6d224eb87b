/// @file
/// An engine that speaks the platform's published protocol, with faults that tests switch on.
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

#include "net/http1_server.hpp"
#include "platform/support/fault_proxy.hpp"
#include "platform/support/ledger.hpp"
#include "platform/support/store_standin.hpp"

namespace shuntbank::testing {

/// What an engine is.
struct EngineShape {
  std::string service;
  bool model = false;
  std::string stage;  ///< `prefill` or `decode` at its start; empty for plain engines.
  std::size_t slots = 48;
  std::chrono::milliseconds step_duration{10};  ///< Between two events, or for a plain answer.

  bool operator==(const EngineShape&) const = default;
};

/// How an engine misbehaves while its health is good.
enum class EngineFault { kNone, kErrors, kSheds, kHangs, kResets, kLosesAnswers };

/// One engine behind a fault proxy. A start after a crash is a new incarnation.
class EngineStandin {
 public:
  EngineStandin(asio::io_context& loop, StoreStandin& store, Ledger& ledger,
                const EngineShape& shape, std::uint64_t seed);
  ~EngineStandin();

  /// Begins a new incarnation and registers it.
  void start();

  /// Ends at once. Its registration goes after `lag`.
  void crash(std::chrono::milliseconds removal_delay);

  /// Says that it drains, and ends after `duration`.
  void drain(std::chrono::milliseconds duration);

  /// Its entry goes while it serves on, and comes back after a while.
  void lapse_registration(std::chrono::milliseconds duration);

  /// Misbehaves in a share of its answers.
  void set_fault(EngineFault fault, double share);

  /// Names how many requests a second it takes, or none any more.
  void set_limit(std::optional<double> per_second);

  /// Works `times` as long for each step.
  void set_slowness(int times) { this->slowness = times; }

  /// Sets what is called when a request has come that ends the engine, and whether all else is
  /// calm.
  void set_crash_handlers(std::function<void()> crash, std::function<bool()> is_undisturbed) {
    this->crash_handler = std::move(crash);
    this->undisturbed = std::move(is_undisturbed);
  }

  /// Its words may not have been heard.
  void link_disturbed() { this->ledger.link_disturbed(this->id); }

  bool running() const { return this->server != nullptr; }
  FaultProxy& link() { return *this->proxy; }

 private:
  using Responder = std::shared_ptr<ConnectionResponder>;

  /// A request that the engine works on.
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
  /// @return the status that the request is refused with, or nothing.
  std::optional<int> refusal_status(EngineFault drawn, bool prefill_only) const;
  void prefill(const HttpRequest& request, const Responder& responder);
  void report(const Responder& responder);
  void order(const HttpRequest& request, const Responder& responder);
  void change_stage(const std::string& wanted);
  void start_run(const HttpRequest& request, const Responder& responder);
  void schedule_step(const RunPointer& run);
  void answer_plain(const RunPointer& run);
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
  std::mt19937_64 cooldown_random;  ///< Of its own: all else of a seed stays as it is.
  std::unique_ptr<Http1Server> server;
  std::unique_ptr<FaultProxy> proxy;
  std::unique_ptr<asio::steady_timer> transition_timer;
  std::unique_ptr<asio::steady_timer> reregister_timer;  ///< Until a lapsed entry is back.
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
};

}  // namespace shuntbank::testing
