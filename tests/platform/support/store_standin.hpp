/// @file
/// Fake store for the platform's protocol, with fault injection.
#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "net/http1_server.hpp"

namespace shuntbank::testing {

/// How the store mishandles calls.
enum class StoreFault { kNone, kBusy, kSilent, kResetting, kLosingWrites };

/// In-memory object store with list, watch and conditional writes.
class StoreStandin {
 public:
  explicit StoreStandin(asio::io_context& loop);
  ~StoreStandin();

  asio::ip::tcp::endpoint endpoint() const { return this->server->local_endpoint(); }

  void set_fault(StoreFault fault);

  /// Sets the function that returns the address of an engine as the caller at an IP sees it.
  using AddressView =
      std::function<std::string(const std::string& caller_ip, const std::string& address)>;
  void set_address_view(AddressView view) { this->address_view = std::move(view); }

  /// Makes watches from earlier revisions fail with 410.
  void drop_history();

  /// Writes on behalf of the operator or an engine.
  void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void remove(const std::string& kind, const std::string& name);

  /// Writes a value that is sent as this text, whatever it is.
  void put_text(const std::string& kind, const std::string& name, std::string spec);

  /// @return the names of all objects of a kind.
  std::set<std::string> names(const std::string& kind) const;

 private:
  using Responder = std::shared_ptr<ConnectionResponder>;
  struct Event {
    std::uint64_t revision = 0;
    std::chrono::steady_clock::time_point recorded_at{};
    std::string kind;
    nlohmann::json event;
  };
  struct Watch {
    std::string kind;
    std::uint64_t since = 0;
    bool stale_allowed = false;
    std::string caller;  ///< IP.
    Responder responder;
    std::unique_ptr<asio::steady_timer> timer;
    bool open = true;
  };

  void handle(const HttpRequest& request, const Responder& responder);
  void reply(const Responder& responder, int status, const nlohmann::json& body) const;
  void list(const std::string& kind, const HttpRequest& request, const Responder& responder);
  void watch(const std::string& kind, const HttpRequest& request, const Responder& responder);
  void create(const std::string& kind, const nlohmann::json& body, const Responder& responder);
  void remove(const std::string& kind, const std::string& name, const HttpRequest& request,
              const Responder& responder);
  void replace(const std::string& kind, const std::string& name, const nlohmann::json& body,
               const Responder& responder);
  nlohmann::json as_seen_by(const std::string& caller, nlohmann::json object) const;
  void finish_write(const nlohmann::json& object, const Responder& responder);
  nlohmann::json& store_object(const std::string& kind, const std::string& name,
                               const nlohmann::json& spec);
  void record(const std::string& kind, const nlohmann::json& object, bool removed);
  /// @return the revision up to which a call sees changes: the current one, or for a stale read
  /// the one of `kStaleReadAge` ago.
  std::uint64_t visible_revision(const HttpRequest& request) const;
  nlohmann::json events_between(const std::string& kind, std::uint64_t after,
                                std::uint64_t last) const;
  void answer_ready_watches();
  void answer(Watch& watch);
  std::uint64_t stale_revision() const;
  nlohmann::json visible_events(const Watch& watch) const;
  /// Answers stale watches once the change is old enough.
  void schedule_stale_watches();

  /// Age of the state that stale reads see.
  static constexpr std::chrono::milliseconds kStaleReadAge{900};

  asio::io_context& loop;
  std::unique_ptr<Http1Server> server;
  StoreFault fault = StoreFault::kNone;
  std::map<std::string, std::map<std::string, nlohmann::json>> kinds;
  std::map<std::string, std::string> texts;  ///< By the quoted placeholder in an object's spec.
  std::deque<Event> history;
  std::list<Watch> watches;
  std::shared_ptr<bool> lifetime_token = std::make_shared<bool>(true);
  AddressView address_view;
  std::vector<Responder> unanswered;  ///< Calls left without an answer.
  std::uint64_t revision = 1;
  std::uint64_t oldest_watchable = 0;
};

}  // namespace shuntbank::testing
