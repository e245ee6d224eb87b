/// @file
/// Records which requests were running at engines that crashed, to quarantine a request that
/// crashes every engine it runs on, but not the requests that merely ran beside it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/time.hpp"
#include "core/relay/engine_key.hpp"
#include "core/relay/request_identity.hpp"

namespace shuntbank::relay {

/// Tunables of the ledger.
struct CrashLedgerSettings {
  /// Crashed engines after which a request is quarantined, not counting crashes that another
  /// quarantined request explains. Requests that are retried together with the cause often see two.
  std::size_t enough = 3;
  /// Crashed engines after which a request is quarantined even if other quarantined requests
  /// explain some of the crashes.
  std::size_t enough_in_any_case = 4;
  /// How long a request is quarantined after its last attempt. Exceeds the retry interval of
  /// callers (30 s) and the restart time of an engine (3 s).
  Duration hold = std::chrono::minutes(15);
  /// How long crashes are remembered for a request that is not quarantined.
  Duration memory = std::chrono::minutes(10);
  /// An interruption is discarded unless the engine's crash is confirmed within this time. Exceeds
  /// three heartbeats, after which an unresponsive engine is dropped from the list of engines.
  Duration proof_within = std::chrono::seconds(6);
  /// How long a crash is remembered for late reports: nodes report within a second or two, and a
  /// message may be lost.
  Duration ends_remembered = std::chrono::seconds(10);
  /// After this time a suspect no longer counts as in flight at an engine.
  Duration longest_trial = std::chrono::seconds(10);
  /// Requests remembered; about 200 bytes each. Evicted by fewest crashes, then by age.
  std::size_t most_suspects = 2000;
};

/// Whether a request is suspected of crashing engines, and whether it is quarantined.
struct CrashStanding {
  std::size_t broken = 0;            ///< Engines that interrupted it and may have crashed.
  std::size_t ended = 0;             ///< Those of `interruptions` that are known to have crashed.
  bool under_way = false;            ///< An engine is running it now.
  std::optional<Duration> held_for;  ///< Set while it is quarantined.

  /// @return whether an engine may have crashed while running it.
  bool suspect() const { return this->broken > 0; }
};

/// A quarantined request and the crashes attributed to it.
struct HeldRequest {
  RequestIdentity request;
  std::vector<EngineKey> ended;
  /// Callers whose copies crashed engines. With one caller, only that caller's copies are
  /// quarantined, so that nobody can get another's request refused by sending the same; with
  /// several, everyone's are.
  std::set<CallerKey> callers;
  Duration left = Duration::zero();

  bool for_all() const { return this->callers.size() > 1; }
  bool operator==(const HeldRequest&) const = default;
};

/// A request that an engine did not complete.
struct BrokenRequest {
  TriedRequest tried;
  EngineKey engine = 0;
  /// The engine stopped responding rather than close the connection; counts only once it is known
  /// to have crashed.
  bool silent = false;
  bool heard = false;  ///< Reported by another node, which also checks the engine.

  bool operator==(const BrokenRequest&) const = default;
};

/// One interruption or crash attributed to a request.
struct CrashEvidence {
  EngineKey engine = 0;
  CallerKey caller = 0;
  MonotonicTime at{};
  bool ended = false;

  bool operator==(const CrashEvidence&) const = default;
};

/// Counts engine crashes per request and decides which requests are quarantined. Has no clock or
/// network access: callers pass in the time and the reports of other nodes.
class CrashLedger {
 public:
  explicit CrashLedger(const CrashLedgerSettings& own_settings = {}) : settings(own_settings) {}

  /// @return whether no request is a suspect or was recently.
  bool empty() const { return this->suspects.empty(); }

  /// @return the status of a request when sent by this caller.
  CrashStanding standing(MonotonicTime now, const TriedRequest& tried) const;

  /// @return whether a request is quarantined for any caller.
  bool holds(const RequestIdentity& request) const { return this->held_back.count(request) > 0; }

  /// @return whether there is a record of a request.
  bool knows(const RequestIdentity& request) const { return this->suspects.count(request) > 0; }

  /// @return whether other nodes have reported interruptions of a request.
  bool heard_of(const RequestIdentity& request) const;

  /// @return the requests that an engine interrupted.
  std::vector<RequestIdentity> broken_by(EngineKey engine) const;

  /// Records that an engine interrupted a request.
  void on_broken(MonotonicTime at, const BrokenRequest& broken);

  /// @return whether the engine was already known to have crashed, so that a request sent at `at`
  /// cannot be the cause.
  bool ended_before(MonotonicTime at, EngineKey engine) const;

  /// Records that an engine has crashed.
  void on_engine_ended(MonotonicTime now, EngineKey engine);

  /// Records that an engine answered a request sent at `sent_at`. Earlier interruptions there were
  /// no crashes: they are discarded, and quarantines that rested on them are lifted.
  void on_engine_answered(MonotonicTime sent_at, EngineKey engine);

  /// Discards earlier evidence against a request that has completed or that an operator released.
  void clear(MonotonicTime at, const RequestIdentity& request);

  /// Records that a suspect is sent to an engine again, or no longer runs there.
  void begin_trial(MonotonicTime now, const RequestIdentity& request, EngineKey engine);
  void end_trial(const RequestIdentity& request);

  /// @return the engines at which suspects other than `request` are in flight.
  std::set<EngineKey> engines_on_trial(MonotonicTime now, const RequestIdentity& request) const;

  /// Restarts the quarantine period when a quarantined request is sent again.
  void on_held_again(MonotonicTime now, const RequestIdentity& request);

  /// Restores a quarantine from the store or from another node.
  void restore(MonotonicTime now, const HeldRequest& held);

  /// @return the interruptions and crashes attributed to a request.
  std::vector<CrashEvidence> evidence(const RequestIdentity& request) const;

  /// @return engines to be checked for a crash: those that interrupted requests of this node.
  /// Limits how often each is returned.
  std::vector<EngineKey> take_questions(MonotonicTime now);

  /// @return requests quarantined, or quarantined for more callers, since the last call.
  std::vector<HeldRequest> take_verdicts(MonotonicTime now);

  /// @return all quarantined requests.
  std::vector<HeldRequest> held(MonotonicTime now) const;

  /// Drops expired evidence and quarantines.
  void expire(MonotonicTime now);

 private:
  struct Broken {
    MonotonicTime at{};
    CallerKey caller = 0;
    bool silent = false;
    bool heard = false;
    bool ended = false;
  };
  struct Trial {
    EngineKey engine = 0;
    MonotonicTime since{};
  };
  struct Suspect {
    std::map<EngineKey, Broken> engines;
    std::optional<Trial> trial;
    std::optional<MonotonicTime> held_until;
    std::size_t held_callers = 0;  ///< Callers when the quarantine was last announced.
    MonotonicTime cleared_at{};
    /// The quarantine was lifted by new evidence; outdated entries of the store are ignored.
    bool let_go = false;
    MonotonicTime last{};
  };
  using Suspects = std::map<RequestIdentity, Suspect>;

  bool on_trial(MonotonicTime now, const Suspect& suspect) const;
  bool accounted_for(EngineKey engine, const RequestIdentity& request) const;
  void judge(MonotonicTime now, const RequestIdentity& request, Suspect& suspect);
  void make_room();
  static std::size_t count_broken(const Suspect& suspect);
  static std::size_t count_ended(const Suspect& suspect);
  static std::set<CallerKey> callers_of(const Suspect& suspect);

  CrashLedgerSettings settings;
  Suspects suspects;
  std::set<RequestIdentity> held_back;
  std::vector<RequestIdentity> verdicts;  ///< Not yet taken.
  std::map<EngineKey, MonotonicTime> asked;
  std::map<EngineKey, MonotonicTime> lived;  ///< Engines that have answered, and what they answered
                                             ///< was sent when.
  std::map<EngineKey, MonotonicTime> ends;   ///< Engines known to have ended, and since when.
};

}  // namespace shuntbank::relay
