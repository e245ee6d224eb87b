/// @file
/// Discrete-event simulation: one clock, processes that can be killed and frozen, and a network
/// between them with delays, losses and cuts. A run is determined by its seed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/runtime.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/peer_transport.hpp"

namespace shuntbank::simulation {

/// Latency and faults of the simulated network.
struct NetworkSettings {
  Duration min_delay = std::chrono::microseconds(200);
  Duration max_delay = std::chrono::milliseconds(2);
  double datagram_loss = 0.01;
  double datagram_duplication = 0.01;
};

class World;

/// The runtime of one simulated process. A killed process never runs again; a restart creates a
/// new one at the same address.
class Process : public Runtime {
 public:
  Process(World& world, std::string address) : world_(world), address_(std::move(address)) {}

  MonotonicTime now() const override;
  std::uint64_t unix_milliseconds() const override;
  std::unique_ptr<Timer> after(Duration delay, std::function<void()> function) override;
  void post(std::function<void()> function) override;
  std::string random_hex(std::size_t bytes) override;

  /// Runs `function` in this process: after the thaw if it is frozen, never if it was killed.
  void run(std::function<void()> function);

  void kill();
  void freeze() { frozen_ = true; }
  void thaw();

  bool alive() const { return alive_; }
  bool frozen() const { return frozen_; }
  const std::string& address() const { return address_; }
  World& world() { return world_; }

  /// Adds a handler that is called when the process is killed, to reset its connections.
  void on_killed(std::function<void()> handler) { kill_handlers_.push_back(std::move(handler)); }

  /// Whether new HTTP connections are accepted.
  bool listening = true;

  /// Answers HTTP requests to this process.
  std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)> http_handler;

  /// Handlers of messages from other nodes.
  PeerTransport::DatagramHandler datagram_handler;
  PeerTransport::CallHandler call_handler;

  std::uint64_t datagram_bytes_sent = 0;
  std::uint64_t datagram_bytes_received = 0;
  std::uint64_t call_bytes_sent = 0;
  std::uint64_t call_bytes_received = 0;
  std::uint64_t messages_sent = 0;
  double processor_seconds = 0;  ///< CPU time of the functions run in this process.

 private:
  World& world_;
  std::string address_;
  void run_measured(const std::function<void()>& function);

  bool alive_ = true;
  bool frozen_ = false;
  bool running_ = false;
  std::deque<std::function<void()>> deferred_;
  std::vector<std::function<void()>> kill_handlers_;
};

using ProcessPointer = std::shared_ptr<Process>;

/// The clock, the event queue, the processes and the network.
class World {
 public:
  World(std::uint64_t seed, const NetworkSettings& network);

  /// Starts a process at an address, replacing an earlier one.
  ProcessPointer start(const std::string& address);

  /// @return the process at that address, or null.
  ProcessPointer find(const std::string& address) const;

  /// Schedules `function` at simulated time `time`, outside any process.
  void schedule_at(MonotonicTime time, std::function<void()> function);

  /// Runs all events up to `end`.
  void run_until(MonotonicTime end);

  /// Kills all processes and drops pending events; called before their owners are destroyed.
  void stop();

  /// Runs the next event. @return false when none is left up to `end`.
  bool step(MonotonicTime end);

  /// Cuts or heals the link between two addresses, in both directions.
  void cut(const std::string& a, const std::string& b);
  void heal(const std::string& a, const std::string& b);
  void heal_all() { cut_links_.clear(); }
  bool is_cut(const std::string& a, const std::string& b) const;

  MonotonicTime now() const { return now_; }
  Duration random_delay();
  bool chance(double probability);
  std::mt19937_64& random() { return random_; }
  const NetworkSettings& network() const { return network_; }
  std::uint64_t events() const { return sequence_; }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t sequence;
    std::function<void()> function;
    bool operator>(const Event& other) const {
      return std::tie(time, sequence) > std::tie(other.time, other.sequence);
    }
  };

  static std::pair<std::string, std::string> link(const std::string& a, const std::string& b);

  MonotonicTime now_ = MonotonicTime{} + std::chrono::hours(1);
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<std::string, ProcessPointer> processes_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::mt19937_64 random_;
  NetworkSettings network_;
};

/// HTTP client of a simulated process, over the simulated network.
class SimulatedHttpClient : public HttpClient {
 public:
  explicit SimulatedHttpClient(ProcessPointer process) : process_(std::move(process)) {}
  ~SimulatedHttpClient() override;
  SimulatedHttpClient(const SimulatedHttpClient&) = delete;
  SimulatedHttpClient& operator=(const SimulatedHttpClient&) = delete;

  TransferId start(OutgoingRequest request, TransferHandlers handlers) override;
  void cancel(TransferId id) override;
  void resume(TransferId id) override;

 private:
  class Exchange;
  class Responder;

  ProcessPointer process_;
  TransferId last_id_ = 0;
  std::map<TransferId, std::shared_ptr<Exchange>> open_exchanges_;
};

/// Datagrams and calls between simulated nodes.
class SimulatedTransport : public PeerTransport {
 public:
  explicit SimulatedTransport(ProcessPointer process) : process_(std::move(process)) {}

  void set_handlers(DatagramHandler on_datagram, CallHandler on_call) override;
  void send(const std::string& address, std::string_view text) override;
  void call(const std::string& address, std::string text, Duration timeout,
            AnswerHandler handler) override;
  std::string local_address() const override { return process_->address(); }
  std::uint64_t bytes_sent() const override { return process_->datagram_bytes_sent; }
  std::uint64_t bytes_received() const override { return process_->datagram_bytes_received; }

 private:
  ProcessPointer process_;
};

}  // namespace shuntbank::simulation
