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
  std::chrono::milliseconds step{10};  ///< Between two events, or for a plain answer.

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
  void crash(std::chrono::milliseconds lag);

  /// Says that it drains, and ends after `serve_on`.
  void drain(std::chrono::milliseconds serve_on);

  /// Its entry goes while it serves on, and comes back after a while.
  void lapse(std::chrono::milliseconds away);

  /// Misbehaves in a share of its answers.
  void set_fault(EngineFault fault, double share);

  /// Names how many requests a second it takes, or none any more.
  void name_limit(std::optional<double> a_second);

  /// Works `times` as long for each step.
  void set_slowness(int times) { this->slowness = times; }

  /// Sets what is called when a request has come that ends the engine, and whether all else is
  /// calm.
  void on_deadly(std::function<void()> end, std::function<bool()> calm) {
    this->end_engine = std::move(end);
    this->all_calm = std::move(calm);
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
    std::uint64_t next = 1;
    std::uint64_t last = 0;
    EngineFault fault = EngineFault::kNone;
  };
  using RunPointer = std::shared_ptr<Run>;

  void handle(const HttpRequest& request, const Responder& responder);
  void take(const HttpRequest& request, const Responder& responder);
  void count_arrival(const HttpRequest& request, bool reads_apart);
  /// @return the status that the request is refused with, or nothing.
  std::optional<int> refusal(EngineFault drawn, bool only_read) const;
  void read_prompt(const HttpRequest& request, const Responder& responder);
  void report(const Responder& responder);
  void order(const HttpRequest& request, const Responder& responder);
  void change_stage(const std::string& wanted);
  void begin(const HttpRequest& request, const Responder& responder);
  void step(const RunPointer& run);
  void answer_plain(const RunPointer& run);
  void end_under(const HttpRequest& request, const RunPointer& run);
  void begin_stream(const RunPointer& run, const HttpRequest& request);
  void end(const RunPointer& run);
  void refuse(const HttpRequest& request, const Responder& responder, int status,
              bool sheds = false);
  void ask_for_rest(const std::string& request, HttpHeaders& fields);
  HttpHeaders fields(const std::string& id, const std::string& seal) const;
  EngineFault draw_fault();
  void publish();
  std::chrono::milliseconds pace() const { return this->shape.step * this->slowness; }

  asio::io_context& loop;
  StoreStandin& store;
  Ledger& ledger;
  EngineShape shape;
  std::mt19937_64 random;
  std::mt19937_64 rest_random;  ///< Of its own: all else of a seed stays as it is.
  std::unique_ptr<Http1Server> server;
  std::unique_ptr<FaultProxy> proxy;
  std::unique_ptr<asio::steady_timer> later;
  std::unique_ptr<asio::steady_timer> back;  ///< Until a lapsed entry is back.
  std::string id;
  std::string stage;
  std::string state;
  std::uint64_t orders = 0;
  std::uint64_t highest_fence = 0;
  bool changing = false;
  std::set<RunPointer> runs;
  EngineFault fault = EngineFault::kNone;
  std::function<void()> end_engine;
  std::function<bool()> all_calm;
  double fault_share = 0;
  std::optional<double> limit;
  int slowness = 1;
};

}  // namespace shuntbank::testing
