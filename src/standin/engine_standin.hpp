/// @file
/// The engine stand-in process: serves the emulator, or a plain service, over the engine API.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "common/runtime.hpp"
#include "net/http_server.hpp"
#include "standin/engine_emulator.hpp"

namespace shuntbank {

/// Settings of one engine stand-in.
struct EngineStandinSettings {
  bool plain = false;
  std::vector<ModelSpec> preloaded;
  EngineCosts costs;
  double time_scale = 1.0;                             ///< Emulated seconds per real second.
  Duration load_lag = std::chrono::milliseconds(200);  ///< Age of load reports.
  Duration cache_event_lag = std::chrono::milliseconds(500);
  double cache_event_loss = 0.02;  ///< Fraction of cache events that are never published.
  Duration plain_service_time = std::chrono::milliseconds(3);
  std::uint64_t seed = 1;
};

/// Faults that tests switch on at run time by `POST /faults`.
struct EngineFaults {
  bool refuse_requests = false;       ///< Refuse every request with the outcome `not_run`.
  bool drop_after_accept = false;     ///< Run the request, but end its stream without tokens.
  bool wrong_attempt_id = false;      ///< Label chunks with another attempt's id.
  bool crash_in_next_change = false;  ///< Crash and restart when the next change starts.
};

/// Serves one emulated engine.
class EngineStandin {
 public:
  EngineStandin(Runtime& runtime, const EngineStandinSettings& settings);
  ~EngineStandin();
  EngineStandin(const EngineStandin&) = delete;
  EngineStandin& operator=(const EngineStandin&) = delete;

  /// Handles one request of the engine API, or of `/faults`.
  void handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);

  /// @return the emulated engine, for inspection.
  const EngineEmulator& emulator() const { return emulator_; }

  /// @return the execution log of the plain service.
  const std::vector<Execution>& plain_executions() const { return plain_executions_; }

 private:
  struct Answer;
  using Responder = std::shared_ptr<HttpResponder>;

  void handle_control(const HttpRequest& request, const Responder& responder);
  void handle_completion(const HttpRequest& request, const Responder& responder);
  void handle_plain(const HttpRequest& request, const Responder& responder);
  void handle_faults(const HttpRequest& request, const Responder& responder);
  void submit(const std::shared_ptr<Answer>& answer, const EngineJob& job);
  void refuse(const Responder& responder, const std::string& code);
  void reply_state(const Responder& responder, int status);
  void deliver(const EngineEvent& event);
  void send_token(Answer& answer, std::uint32_t index);
  void finish(Answer& answer);
  void run_emulator();
  void schedule();
  void sample_load();
  std::string load_header() const;
  nlohmann::json executions_json() const;
  nlohmann::json cache_events_json(std::uint64_t after) const;
  MonotonicTime emulated_now() const;

  Runtime& runtime_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  EngineStandinSettings settings_;
  EngineFaults faults_;
  MonotonicTime started_;
  EngineEmulator emulator_;
  std::vector<Execution> plain_executions_;
  std::map<AttemptId, std::shared_ptr<Answer>> answers_;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> load_timer_;
  LoadReport reported_load_;
};

}  // namespace shuntbank
