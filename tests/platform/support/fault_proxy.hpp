/// @file
/// TCP proxy on the loopback interface with fault injection.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shuntbank::testing {

/// Faults of a link.
struct LinkState {
  bool stalled_up = false;    ///< Bytes towards the target are held back.
  bool stalled_down = false;  ///< Bytes from the target are held back.
  bool refusing = false;      ///< New connections are reset.
  bool losing = false;        ///< Connections that are open meanwhile carry nothing from then on.
  std::chrono::milliseconds delay{0};  ///< Per chunk, in both directions.

  bool operator==(const LinkState&) const = default;
};

/// How new connections fail, if they do.
enum class Blockade { kNone, kRefused, kHangs };

/// IP addresses of a proxy.
struct FaultProxyAddresses {
  std::string listen = "127.0.0.1";
  std::string source = "127.0.0.1";  ///< From which it connects to the target.
};

/// An answer without end. `{id}` in the prefix stands for the id of the request.
struct Flood {
  std::string prefix;
  std::string filler;  ///< Repeated until the client closes the connection.

  bool operator==(const Flood&) const = default;
};

/// Where an answer is cut, its head included, and how its connection ends.
struct AnswerCut {
  std::size_t size = 0;  ///< Bytes that are sent.
  bool reset = false;    ///< By a reset instead of a close.

  bool operator==(const AnswerCut&) const = default;
};

/// Forwards connections to one target.
class FaultProxy {
 public:
  FaultProxy(asio::io_context& loop, asio::ip::tcp::endpoint target,
             const FaultProxyAddresses& addresses = {});
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  /// @return the listening address, as IP:PORT.
  std::string address() const;

  void set(const LinkState& state);

  /// Lets new connections fail before they are established.
  void block(Blockade blockade);

  /// Limits the total rate from the target over all connections; 0: no limit.
  void set_rate_down(std::size_t bytes_per_second);

  /// Adds an answer from the target on each connection, once after every `interval` answers of the
  /// proxy, right before the next answer; 0: none.
  /// @param answer empty: a copy of the last answer.
  void add_answers(int interval, std::string answer);

  /// Sets the handler for an answer that is added.
  void on_answer_added(std::function<void()> handler);

  /// Replaces every `interval`-th answer of the proxy by bytes without end, each kind in turn; 0:
  /// none.
  void flood_answers(int interval, std::vector<Flood> kinds);

  /// Sets the handler for an answer that is replaced.
  void on_flood(std::function<void()> handler);

  /// @return the largest number of bytes sent until a client closed its connection.
  std::size_t largest_flood() const;

  /// Cuts every `interval`-th answer of the proxy, each way in turn; 0: none.
  void cut_answers(int interval, std::vector<AnswerCut> cuts);

  /// Sets the handler for an answer that is cut.
  void on_cut(std::function<void()> handler);

  /// Resets all open connections.
  void reset_all();

  /// Sets the target of later connections.
  void set_target(const asio::ip::tcp::endpoint& target);

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace shuntbank::testing
