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
  /// quarantined request explains. One may be a coincidence, and requests that are retried together
  /// with the cause often see two (17 of 51 attempts in one case).
  std::size_t quarantine_threshold = 3;
  /// Crashed engines after which a request is quarantined even if other quarantined requests
  /// explain some of the crashes: a request that was quarantined after the third crash is normally
  /// no longer sent when the fourth one happens.
  std::size_t unconditional_threshold = 4;
  /// How long a prompt part is not quarantined once it has reached the threshold, so that reports
  /// of other parts and of completed requests arrive before.
  Duration part_settle_time = std::chrono::milliseconds(300);
  /// How long a request is quarantined after its last attempt. Exceeds the retry interval of
  /// callers (30 s) and the restart time of an engine (3 s).
  Duration quarantine_duration = std::chrono::minutes(15);
  /// How long crashes are remembered for a request that is not quarantined.
  Duration suspect_retention = std::chrono::minutes(10);
  /// An interruption is discarded unless the engine's crash is confirmed within this time. Exceeds
  /// three heartbeats, after which an unresponsive engine is dropped from the list of engines.
  Duration confirmation_timeout = std::chrono::seconds(6);
  /// How long a crash is remembered for late reports: nodes report within a second or two, and a
  /// message may be lost.
  Duration crash_retention = std::chrono::seconds(10);
  /// After this time a suspect no longer counts as in flight at an engine.
  Duration max_trial_duration = std::chrono::seconds(10);
  /// Requests remembered; about 200 bytes each. Evicted by fewest crashes, then by age.
  std::size_t max_suspects = 2000;
};

/// Whether a request is suspected of crashing engines, and whether it is quarantined.
struct SuspectStatus {
  /// Engines that may have crashed while they ran it: the connection broke, or the engine stopped
  /// responding and is known to have crashed.
  std::size_t interruptions = 0;
  std::size_t crashes = 0;  ///< Those of `interruptions` that are known to have crashed.
  bool in_flight = false;   ///< An engine is running it now.
  std::optional<Duration> quarantine_left;  ///< Set while it is quarantined.

  /// @return whether an engine may have crashed while running it.
  bool is_suspect() const { return this->interruptions > 0; }
};

/// A quarantined request and the crashes attributed to it.
struct QuarantinedRequest {
  RequestIdentity request;
  std::vector<EngineKey> crashed_engines;
  /// Callers whose copies crashed engines. With one caller, only that caller's copies are
  /// quarantined, so that nobody can get another's request refused by sending the same; with
  /// several, everyone's are.
  std::set<CallerAddressHash> callers;
  Duration time_left = Duration::zero();

  bool applies_to_all_callers() const { return this->callers.size() > 1; }
  bool operator==(const QuarantinedRequest&) const = default;
};

/// A request that an engine did not complete.
struct InterruptedRequest {
  CallerRequest attempt;
  EngineKey engine = 0;
  /// The engine stopped responding rather than close the connection; counts only once it is known
  /// to have crashed.
  bool silent = false;
  bool from_peer = false;  ///< Reported by another node, which also checks the engine.

  bool operator==(const InterruptedRequest&) const = default;
};

/// One interruption or crash attributed to a request.
struct CrashEvidence {
  EngineKey engine = 0;
  CallerAddressHash caller = 0;
  MonotonicTime at{};
  bool crashed = false;

  bool operator==(const CrashEvidence&) const = default;
};

/// Counts engine crashes per request and per prompt part, and decides which of them are
/// quarantined. Parts are known by their identities and otherwise treated as requests. Has no clock
/// or network access: callers pass in the time and the reports of other nodes.
class CrashLedger {
 public:
  explicit CrashLedger(const CrashLedgerSettings& own_settings = {}) : settings(own_settings) {}

  /// @return whether no request is a suspect or was recently.
  bool empty() const { return this->suspects.empty(); }

  /// @return the status of a request when sent by this caller.
  SuspectStatus status(MonotonicTime now, const CallerRequest& attempt) const;

  /// @return whether a request is quarantined for any caller.
  bool is_quarantined(const RequestIdentity& request) const {
    return this->quarantined_requests.count(request) > 0;
  }

  /// @return whether there is a record of a request.
  bool contains(const RequestIdentity& request) const { return this->suspects.count(request) > 0; }

  /// @return whether other nodes have reported interruptions of a request.
  bool reported_by_peer(const RequestIdentity& request) const;

  /// @return the quarantined prompt parts that were in the same requests at each crash, so that any
  /// of them may be the cause; the part itself is among them.
  std::set<RequestIdentity> inseparable_parts(const RequestIdentity& part) const;

  /// @return whether this node has seen the engine interrupt a request.
  bool interrupted_here(const RequestIdentity& request, EngineKey engine) const;

  /// @return the requests that an engine interrupted.
  std::vector<RequestIdentity> interrupted_by(EngineKey engine) const;

  /// Records that an engine interrupted a request.
  void on_interrupted(MonotonicTime at, const InterruptedRequest& interrupted);

  /// @return whether the engine was already known to have crashed, so that a request sent at `at`
  /// cannot be the cause.
  bool crashed_before(MonotonicTime at, EngineKey engine) const;

  /// Records that an engine has crashed.
  void on_engine_crashed(MonotonicTime now, EngineKey engine);

  /// Records that an engine answered a request sent at `sent_at`. Earlier interruptions there were
  /// no crashes: they are discarded, and quarantines that rested on them are lifted.
  void on_engine_answered(MonotonicTime sent_at, EngineKey engine);

  /// Discards earlier evidence against a request that has completed or that an operator released.
  void clear(MonotonicTime at, const RequestIdentity& request);

  /// Records that a suspect is sent to an engine again, or no longer runs there.
  void begin_trial(MonotonicTime now, const RequestIdentity& request, EngineKey engine);
  void end_trial(const RequestIdentity& request);

  /// @return the engines at which suspects other than these are in flight.
  std::set<EngineKey> trial_engines(MonotonicTime now,
                                    const std::vector<RequestIdentity>& except) const;

  /// Restarts the quarantine period when a quarantined request is sent again.
  void extend_quarantine(MonotonicTime now, const RequestIdentity& request);

  /// Restores a quarantine from the store or from another node.
  void restore(MonotonicTime now, const QuarantinedRequest& entry);

  /// @return the interruptions and crashes attributed to a request.
  std::vector<CrashEvidence> evidence(const RequestIdentity& request) const;

  /// @return engines to be checked for a crash: those that interrupted requests of this node.
  /// Limits how often each is returned.
  std::vector<EngineKey> take_liveness_checks(MonotonicTime now);

  /// @return requests quarantined, or quarantined for more callers, since the last call.
  std::vector<QuarantinedRequest> take_new_quarantines(MonotonicTime now);

  /// @return all quarantined requests.
  std::vector<QuarantinedRequest> quarantined(MonotonicTime now) const;

  /// Drops expired evidence and quarantines.
  void expire(MonotonicTime now);

 private:
  struct Interruption {
    MonotonicTime at{};
    CallerAddressHash caller = 0;
    bool silent = false;
    bool from_peer = false;
    bool crashed = false;
  };
  struct Trial {
    EngineKey engine = 0;
    MonotonicTime started_at{};
  };
  struct Suspect {
    std::map<EngineKey, Interruption> engines;
    std::optional<Trial> trial;
    std::optional<MonotonicTime> quarantined_until;
    std::size_t quarantined_callers = 0;  ///< Callers when the quarantine was last announced.
    MonotonicTime cleared_at{};
    /// The quarantine was lifted by new evidence; outdated entries of the store are ignored.
    bool released = false;
    MonotonicTime last_event_at{};
    std::optional<MonotonicTime> threshold_reached_at;  ///< Of a prompt part.
  };
  using Suspects = std::map<RequestIdentity, Suspect>;

  bool has_active_trial(MonotonicTime now, const Suspect& suspect) const;
  bool explained_by_quarantine(EngineKey engine, const RequestIdentity& request) const;
  bool explained_by_part(EngineKey engine, const RequestIdentity& request) const;
  bool may_be_cause(const RequestIdentity& part, const Suspect& suspect) const;
  void evaluate_parts(MonotonicTime now);
  Suspects::iterator find_crashing_part(MonotonicTime now);
  void quarantine_parts(MonotonicTime now, const std::set<EngineKey>& engines);
  void lift_explained_parts(const std::set<EngineKey>& engines);
  void begin_quarantine(MonotonicTime now, const RequestIdentity& request, Suspect& suspect);
  static std::set<EngineKey> crashed_engines(const Suspect& suspect);
  void evaluate(MonotonicTime now, const RequestIdentity& request, Suspect& suspect);
  void evict_if_full();
  static std::size_t count_interruptions(const Suspect& suspect);
  static std::size_t count_crashes(const Suspect& suspect);
  static std::set<CallerAddressHash> crash_callers(const Suspect& suspect);

  CrashLedgerSettings settings;
  Suspects suspects;
  std::set<RequestIdentity> quarantined_requests;
  std::vector<RequestIdentity> new_quarantines;  ///< Not yet taken.
  std::map<EngineKey, MonotonicTime> last_checks;
  std::map<EngineKey, MonotonicTime> last_answers;  ///< When the latest answered request was sent.
  std::map<EngineKey, MonotonicTime> crashes;       ///< When an engine was found to have crashed.
};

}  // namespace shuntbank::relay
