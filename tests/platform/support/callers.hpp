/// @file
/// Callers of a site: they find nodes as the platform's entry does, send, and check what they get.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/http1_client.hpp"
#include "platform/support/ledger.hpp"

namespace shuntbank::testing {

/// A node as the entry sees it.
struct EntryNode {
  std::string callers;  ///< IP:PORT
  std::string ready;    ///< IP:PORT
  int misses = 2;       ///< Questions in a row without a 200.

  bool operator==(const EntryNode&) const = default;
};

/// How requests ended.
struct CallerCounts {
  std::uint64_t whole = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t left = 0;  ///< The caller gave up early on purpose.

  bool operator==(const CallerCounts&) const = default;
};

/// A number of callers, each with one request at a time.
class Callers {
 public:
  Callers(asio::io_context& loop, Ledger& ledger, std::vector<EntryNode> nodes, std::uint64_t seed);

  /// Begins to send with so many callers.
  void start(std::size_t callers);

  /// Sends a request that ends each engine that runs it; once more when that has failed. Counts
  /// with no others. @param name the same for all its tries.
  void send_deadly(const std::string& name, bool again = true);

  /// Sends no more; what is under way ends.
  void stop() { this->stopped = true; }

  /// @param share of the requests that their caller gives up early.
  void set_leaving(double share) { this->leaving = share; }

  /// Asks one node for a target that tests the configuration in force there.
  /// @param on_status is told 0 when there is no answer.
  void probe(const EntryNode& node, const std::string& target,
             std::function<void(int status)> on_status);

  const CallerCounts& counts() const { return this->totals; }
  std::size_t under_way() const { return this->open; }
  const std::vector<EntryNode>& nodes() const { return this->entry; }

 private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  void ask_ready();
  void ask_ready(std::size_t index);
  const EntryNode* choose();
  void next_after(std::chrono::milliseconds pause);
  void send();
  void call(const SentByCaller& request, std::function<void(bool failed)> on_end);
  SentByCaller draw_request();
  void on_data(const CallPointer& call, std::string_view piece);
  void on_event(const CallPointer& call, const std::string& event);
  void on_done(const CallPointer& call, bool whole);
  void check_answer(const CallPointer& call);

  asio::io_context& loop;
  Ledger& ledger;
  PooledHttpClient http;
  std::vector<EntryNode> entry;
  std::mt19937_64 random;
  asio::steady_timer ready_timer;
  CallerCounts totals;
  double leaving = 0.02;
  bool stopped = false;
  std::size_t open = 0;
  std::uint64_t drawn = 0;
};

}  // namespace shuntbank::testing
