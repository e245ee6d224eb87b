/// @file
/// Load generator: picks ready nodes as a load balancer would, and checks the answers.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "net/http1_client.hpp"
#include "platform/support/ledger.hpp"

namespace shuntbank::testing {

/// A node as a load balancer sees it.
struct NodeEndpoints {
  std::string caller_address;  ///< IP:PORT
  std::string ready_address;   ///< IP:PORT
  int failed_checks = 2;       ///< Consecutive readiness checks without a 200.

  bool operator==(const NodeEndpoints&) const = default;
};

/// A tenant, and what its requests cost under its quota.
struct CallerTenant {
  std::string name;
  std::string key;
  double plain_cost = 0;  ///< Of a request without token counts.

  bool operator==(const CallerTenant&) const = default;
};

/// Requests by outcome.
struct CallerCounts {
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t over_quota = 0;  ///< Refused under a tenant's quota.
  std::uint64_t cancelled = 0;   ///< Cancelled early by the caller on purpose.

  bool operator==(const CallerCounts&) const = default;
};

/// Simulated callers, each with one request at a time.
class Callers {
 public:
  Callers(asio::io_context& loop, Ledger& ledger, std::vector<NodeEndpoints> nodes,
          std::uint64_t seed);

  /// Sends every second request with a key of this tenant, from now on.
  void set_tenant(const CallerTenant& wanted) { this->tenant = wanted; }

  /// Takes up streams that break off after an event, again and again for some seconds, from now on.
  /// @param wanted tells whether two engines of a version serve.
  void take_up_streams(std::function<bool(const std::string& version)> wanted) {
    this->version_serves = std::move(wanted);
  }

  /// Starts `callers` closed-loop callers.
  void start(std::size_t callers);

  /// Gives a node's place to another one.
  void replace_node(std::size_t index, const NodeEndpoints& node) { this->node_list[index] = node; }

  /// Sends a request that crashes each engine that runs it; not part of the counts.
  /// @param name the same for all attempts. @param retry whether to send it again on failure.
  void send_crashing_request(const std::string& name, bool retry = true);

  /// Sends no new requests; those in flight complete.
  void stop() { this->stopped = true; }

  /// @param share of the requests that their caller cancels early.
  void set_cancel_share(double share) { this->cancel_share = share; }

  /// Requests a target from one node to test its active configuration.
  /// @param on_status gets 0 when there is no answer.
  void probe(const NodeEndpoints& node, const std::string& target,
             std::function<void(int status)> on_status);

  const CallerCounts& counts() const { return this->totals; }
  std::size_t in_flight() const { return this->open_calls; }
  const std::vector<NodeEndpoints>& nodes() const { return this->node_list; }

 private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  /// The tries to take up a stream after it has broken off once.
  struct TakeUp {
    MonotonicTime since{};
    bool judged = false;  ///< At least one of them has to go on.
  };

  void check_readiness();
  void check_readiness(std::size_t index);
  const NodeEndpoints* choose_node();
  void send_after(std::chrono::milliseconds delay);
  void send();
  void call(const SentRequest& request, std::function<void(bool failed)> on_finished);
  void call(const SentRequest& request, std::function<void(bool failed)> on_finished,
            const TakeUp& take_up);
  SentRequest make_random_request();
  /// @return whether the caller goes on with the stream in another request.
  bool take_up(const CallPointer& broken);
  bool take_up_again(const CallPointer& failed);
  void report_stream(const CallPointer& call);
  void on_data(const CallPointer& call, std::string_view piece);
  void on_event(const CallPointer& call, const std::string& event);
  void on_done(const CallPointer& call, bool complete);
  void check_answer(const CallPointer& call);

  asio::io_context& loop;
  Ledger& ledger;
  PooledHttpClient http;
  std::vector<NodeEndpoints> node_list;
  std::mt19937_64 random;
  asio::steady_timer readiness_check_timer;
  CallerCounts totals;
  double cancel_share = 0.02;
  std::optional<CallerTenant> tenant;
  std::function<bool(const std::string& version)> version_serves;  ///< May be empty.
  bool stopped = false;
  std::size_t open_calls = 0;
  std::uint64_t request_count = 0;
};

}  // namespace shuntbank::testing
