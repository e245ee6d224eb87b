/// @file
/// The platform stand-in: versioned objects with compare-and-set and watches, a lagging machine
/// list and a rate-limited weight store. Faults are switched on at run time.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "common/runtime.hpp"
#include "net/http_server.hpp"

namespace shuntbank {

/// Settings of the platform stand-in.
struct PlatformStandinSettings {
  std::uint64_t max_watches = 16;  ///< Further watches are refused with 429.
  Duration machine_list_lag = std::chrono::seconds(2);
  double weight_reads_per_second = 5;
};

/// Faults that tests switch on by `POST /faults`.
struct PlatformFaults {
  bool down = false;                     ///< Answers 503 to everything but `/faults` and `/stats`.
  Duration delay{0};                     ///< Before each answer.
  std::uint64_t lose_write_answers = 0;  ///< Number of writes to apply without answering.
  bool stale_machines = false;           ///< The machine list is no longer updated.
};

/// Serves the platform API from memory.
class PlatformStandin {
 public:
  PlatformStandin(Runtime& runtime, const PlatformStandinSettings& settings);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  /// Handles one request of the platform API, or of `/faults` and `/stats`.
  void handle(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);

 private:
  using Responder = std::shared_ptr<HttpResponder>;
  struct Object {
    std::uint64_t version = 0;
    nlohmann::json value;
  };
  struct Watch {
    std::string key;
    std::uint64_t known_version = 0;
    Responder responder;
    std::unique_ptr<Timer> timer;
  };

  void dispatch(const HttpRequest& request, const Responder& responder);
  void handle_object(const HttpRequest& request, const Responder& responder);
  void write_object(const HttpRequest& request, const Responder& responder);
  void handle_watch(const HttpRequest& request, const Responder& responder);
  void handle_machines(const HttpRequest& request, const Responder& responder);
  void handle_weights(const Responder& responder);
  void handle_faults(const HttpRequest& request, const Responder& responder);
  void answer_watches(const std::string& key);
  void cut_watches();
  void reply_object(const std::string& key, const Responder& responder);

  Runtime& runtime_;
  PlatformStandinSettings settings_;
  PlatformFaults faults_;
  std::map<std::string, Object> objects_;
  std::uint64_t last_version_ = 0;
  std::list<Watch> watches_;
  nlohmann::json machines_ = nlohmann::json::object();            ///< As registered.
  nlohmann::json published_machines_ = nlohmann::json::object();  ///< As listed; lags behind.
  double weight_tokens_ = 0;
  MonotonicTime weight_refilled_at_;
  std::map<std::string, std::uint64_t> request_counts_;  ///< Requests by method and path.
};

}  // namespace shuntbank
