/// @file
/// Which requests ran at engines as these ended, and what follows from it: a request that ends each
/// engine that runs it must not be sent on for ever, and one that only ran beside it is not to
/// blame.
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

/// Tunables of the ledger, in one place.
struct CrashLedgerSettings {
  /// Ended engines after which a request is held back, unless another one that is held back
  /// accounts for them. One may be chance, and two are met by requests that are sent on together
  /// with the guilty one (in an incident 17 of 51 tries met two).
  std::size_t enough = 3;
  /// Ended engines after which a request is held back in any case: by then another was held back
  /// before, and this one has gone on ending engines without it.
  std::size_t enough_in_any_case = 4;
  /// How long a request is held back behind its last try. Longer than callers were seen to pause
  /// (30 s), and far longer than an engine needs to start again (3 s).
  Duration hold = std::chrono::minutes(15);
  /// How long an ended engine is remembered against a request that is not held back.
  Duration memory = std::chrono::minutes(10);
  /// Within this time it must be known that the engine has ended, or it speaks against nobody.
  /// Longer than three heartbeats, after which the list of engines lacks one that has gone dark.
  Duration proof_within = std::chrono::seconds(6);
  /// How long an engine's end is remembered for what is told later of it: nodes tell within a
  /// second or two, and a message may be lost.
  Duration ends_remembered = std::chrono::seconds(10);
  /// A suspect that is under way elsewhere is forgotten after so long, whatever became of it there.
  Duration longest_trial = std::chrono::seconds(10);
  /// Requests remembered; about 200 bytes each. Those with the fewest ended engines go first, the
  /// oldest of these before the others.
  std::size_t most_suspects = 2000;
};

/// What is known against a request.
struct CrashStanding {
  std::size_t broken = 0;            ///< Engines that broke it off and may have ended.
  std::size_t ended = 0;             ///< Of these: that are known to have ended.
  bool under_way = false;            ///< An engine has it now.
  std::optional<Duration> held_for;  ///< Set while it is held back: what is left of it.

  /// @return whether an engine may have ended under it.
  bool suspect() const { return this->broken > 0; }
};

/// A request that is held back, with what speaks against it.
struct HeldRequest {
  RequestIdentity request;
  std::vector<EngineKey> ended;
  /// Whence it came as engines ended. From one address alone: only that one is held back, so that
  /// nobody gets another's request refused by sending the same; from several: all are.
  std::set<CallerAddressHash> callers;
  Duration left = Duration::zero();

  /// @return whether it is held back from wherever it comes.
  bool for_all() const { return this->callers.size() > 1; }
  bool operator==(const HeldRequest&) const = default;
};

/// One engine's doing with one request.
struct BrokenRequest {
  CallerRequest tried;
  EngineKey engine = 0;
  /// The engine said nothing, rather than close the connection; counts only once it is known to
  /// have ended.
  bool silent = false;
  bool heard = false;  ///< Another node saw it, which is also the one that asks the engine.

  bool operator==(const BrokenRequest&) const = default;
};

/// What one engine's end says against one request.
struct CrashEvidence {
  EngineKey engine = 0;
  CallerAddressHash caller = 0;
  MonotonicTime at{};
  bool ended = false;

  bool operator==(const CrashEvidence&) const = default;
};

/// Knows no clock and no other node: callers pass in the time, and what other nodes have met.
class CrashLedger {
 public:
  explicit CrashLedger(const CrashLedgerSettings& own_settings = {}) : settings(own_settings) {}

  /// @return whether nothing is known against any request.
  bool empty() const { return this->suspects.empty(); }

  /// @return what is known against a request, for a try that comes from where it does.
  CrashStanding standing(MonotonicTime now, const CallerRequest& tried) const;

  /// @return whether a request is held back, from wherever.
  bool holds(const RequestIdentity& request) const { return this->held_back.count(request) > 0; }

  /// @return whether anything is remembered of a request.
  bool knows(const RequestIdentity& request) const { return this->suspects.count(request) > 0; }

  /// @return whether other nodes have told of a request.
  bool heard_of(const RequestIdentity& request) const;

  /// @return the requests that an engine broke off.
  std::vector<RequestIdentity> broken_by(EngineKey engine) const;

  /// An engine broke a request off.
  void on_broken(MonotonicTime at, const BrokenRequest& broken);

  /// @return whether the engine was known to have ended before: what is sent there then and breaks
  /// is not what ended it.
  bool ended_before(MonotonicTime at, EngineKey engine) const;

  /// An engine is known to have ended.
  void on_engine_ended(MonotonicTime now, EngineKey engine);

  /// An engine has answered what it was sent at `sent_at`: what broke before was not its end, and
  /// whom only such ends held back is held back no more.
  void on_engine_answered(MonotonicTime sent_at, EngineKey engine);

  /// A request ran to its end, or an operator speaks for it: what is known from before is void.
  void clear(MonotonicTime at, const RequestIdentity& request);

  /// A request that engines may have ended under is under way at one again, or no more.
  void begin_trial(MonotonicTime now, const RequestIdentity& request, EngineKey engine);
  void end_trial(const RequestIdentity& request);

  /// @return the engines at which other suspects than `request` are under way.
  std::set<EngineKey> engines_on_trial(MonotonicTime now, const RequestIdentity& request) const;

  /// A request that is held back has come again.
  void on_held_again(MonotonicTime now, const RequestIdentity& request);

  /// Takes over from an earlier life, or from a node that knows, that a request is held back.
  void restore(MonotonicTime now, const HeldRequest& held);

  /// @return what speaks against a request.
  std::vector<CrashEvidence> evidence(const RequestIdentity& request) const;

  /// @return the engines of which it matters whether they have ended, each once in a while; those
  /// that broke off what this node had sent.
  std::vector<EngineKey> take_questions(MonotonicTime now);

  /// @return requests that are held back, or from more callers than before, since the last call.
  std::vector<HeldRequest> take_verdicts(MonotonicTime now);

  /// @return all requests that are held back.
  std::vector<HeldRequest> held(MonotonicTime now) const;

  /// Forgets what is too old.
  void expire(MonotonicTime now);

 private:
  struct Broken {
    MonotonicTime at{};
    CallerAddressHash caller = 0;
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
    std::size_t held_callers = 0;  ///< When it was last said that it is held back.
    MonotonicTime cleared_at{};
    /// Was held back, and then cleared or shown to have ended fewer engines: what the store still
    /// says of it is not taken.
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
  static std::set<CallerAddressHash> callers_of(const Suspect& suspect);

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
