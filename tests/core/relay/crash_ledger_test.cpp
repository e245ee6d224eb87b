#include "core/relay/crash_ledger.hpp"

#include <criterion/criterion.h>

#include "support/property.hpp"

using namespace shuntbank;
using namespace std::chrono_literals;
using relay::BrokenRequest;
using relay::CallerAddressHash;
using relay::CrashLedger;
using relay::CrashLedgerSettings;
using relay::CrashStanding;
using relay::EngineKey;
using relay::RequestIdentity;

namespace {

constexpr RequestIdentity kGuilty{1, 1};
constexpr RequestIdentity kNeighbour{2, 2};
constexpr RequestIdentity kOther{3, 3};
constexpr CallerAddressHash kCaller = 70;
constexpr CallerAddressHash kOtherCaller = 71;

BrokenRequest broken(const RequestIdentity& request, EngineKey engine, bool silent = false) {
  return {{request, kCaller}, engine, silent, false};
}

CrashStanding standing(const CrashLedger& ledger, MonotonicTime now,
                       const RequestIdentity& request) {
  return ledger.standing(now, {request, kCaller});
}

/// A ledger whose clock is moved by hand.
struct Scene {
  /// An engine ends, and with it the requests that it has.
  void end_engine(EngineKey engine, const std::vector<RequestIdentity>& requests) {
    this->now += 100ms;
    for (const RequestIdentity& request : requests) {
      this->ledger.on_broken(this->now, broken(request, engine));
    }
    this->ledger.on_engine_ended(this->now, engine);
  }

  bool held(const RequestIdentity& request) const {
    return standing(this->ledger, this->now, request).held_for.has_value();
  }

  void pass(Duration duration) {
    this->now += duration;
    this->ledger.expire(this->now);
  }

  CrashLedger ledger;
  MonotonicTime now{1000s};
};

}  // namespace

Test(crash_ledger, holds_a_request_back_after_three_ended_engines_and_not_before) {
  Scene scene;
  scene.end_engine(1, {kGuilty});
  cr_assert_not(scene.held(kGuilty), "one may be chance");
  scene.end_engine(2, {kGuilty});
  cr_assert_not(scene.held(kGuilty));
  scene.end_engine(3, {kGuilty});
  cr_assert(scene.held(kGuilty));
  const auto verdicts = scene.ledger.take_verdicts(scene.now);
  cr_assert_eq(verdicts.size(), 1U);
  cr_assert_eq(verdicts.front().ended.size(), 3U, "with what speaks against it");
  cr_assert(scene.ledger.take_verdicts(scene.now).empty(), "each once");
}

Test(crash_ledger, counts_each_engine_once) {
  Scene scene;
  for (int i = 0; i < 5; ++i) scene.end_engine(1, {kGuilty});
  cr_assert_eq(standing(scene.ledger, scene.now, kGuilty).ended, 1U);
}

Test(crash_ledger, does_not_count_a_connection_that_broke_while_the_engine_lives) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3, 4}) {
    scene.ledger.on_broken(scene.now, broken(kOther, engine));
  }
  cr_assert_eq(scene.ledger.take_questions(scene.now).size(), 4U, "it is asked which have ended");
  cr_assert(scene.ledger.take_questions(scene.now).empty(), "and not again at once");
  for (const EngineKey engine : {1, 2, 3, 4}) {
    scene.ledger.on_engine_answered(scene.now + 1ms, engine);
  }
  cr_assert_not(standing(scene.ledger, scene.now, kOther).suspect());
}

Test(crash_ledger, does_not_take_again_what_an_answer_has_refuted) {
  // News is told a few times.
  Scene scene;
  const BrokenRequest heard{{kOther, kCaller}, 1, false, true};
  scene.ledger.on_broken(scene.now, heard);
  scene.ledger.on_engine_answered(scene.now + 1ms, 1);
  scene.ledger.on_broken(scene.now, heard);
  cr_assert_not(standing(scene.ledger, scene.now, kOther).suspect());
}

Test(crash_ledger, leaves_it_to_the_node_that_saw_it_to_ask_the_engine) {
  Scene scene;
  scene.ledger.on_broken(scene.now, {{kOther, kCaller}, 1, false, true});
  scene.ledger.on_broken(scene.now, broken(kOther, 2));
  const auto questions = scene.ledger.take_questions(scene.now);
  cr_assert_eq(questions.size(), 1U);
  cr_assert_eq(questions.front(), 2U);
}

Test(crash_ledger, takes_no_answer_for_a_sign_of_life_that_was_asked_for_before_the_end) {
  Scene scene;
  const MonotonicTime sent = scene.now;
  scene.end_engine(1, {kGuilty});
  scene.ledger.on_engine_answered(sent, 1);
  cr_assert_eq(standing(scene.ledger, scene.now, kGuilty).ended, 1U);
}

Test(crash_ledger, forgets_what_could_not_be_proved) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3})
    scene.ledger.on_broken(scene.now, broken(kOther, engine));
  scene.pass(CrashLedgerSettings().proof_within + 1s);
  cr_assert_not(standing(scene.ledger, scene.now, kOther).suspect());
}

Test(crash_ledger, counts_silence_only_once_the_engine_is_known_to_have_ended) {
  Scene scene;
  scene.ledger.on_broken(scene.now, broken(kGuilty, 1, true));
  cr_assert_not(standing(scene.ledger, scene.now, kGuilty).suspect());
  scene.ledger.on_engine_ended(scene.now + 3s, 1);
  cr_assert_eq(standing(scene.ledger, scene.now, kGuilty).ended, 1U);
}

Test(crash_ledger, counts_an_end_that_is_known_before_what_ended_there) {
  Scene scene;
  scene.ledger.on_engine_ended(scene.now, 1);
  scene.ledger.on_broken(scene.now + 200ms, broken(kGuilty, 1));
  cr_assert_eq(standing(scene.ledger, scene.now, kGuilty).ended, 1U);
}

Test(crash_ledger, does_not_blame_neighbours_for_what_the_guilty_one_accounts_for) {
  Scene scene;
  scene.end_engine(1, {kGuilty, kNeighbour});
  scene.end_engine(2, {kGuilty, kNeighbour});
  scene.end_engine(3, {kGuilty});
  scene.end_engine(4, {kNeighbour});
  cr_assert(scene.held(kGuilty));
  cr_assert_not(scene.held(kNeighbour), "only one of its three ends is its own");
}

Test(crash_ledger, holds_back_who_goes_on_ending_engines_when_another_is_held_back) {
  // Both stood beside three ended engines, and the wrong one came first.
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) scene.end_engine(engine, {kGuilty, kNeighbour});
  cr_assert_neq(scene.held(kGuilty), scene.held(kNeighbour));
  const RequestIdentity free = scene.held(kGuilty) ? kNeighbour : kGuilty;
  scene.end_engine(4, {free});
  cr_assert(scene.held(free));
}

Test(crash_ledger, clears_who_runs_to_the_end) {
  Scene scene;
  scene.end_engine(1, {kNeighbour});
  scene.end_engine(2, {kNeighbour});
  scene.ledger.clear(scene.now, kNeighbour);
  scene.end_engine(3, {kNeighbour});
  cr_assert_not(scene.held(kNeighbour));
  scene.ledger.on_broken(scene.now - 200ms, broken(kNeighbour, 2));
  cr_assert_eq(standing(scene.ledger, scene.now, kNeighbour).broken, 1U,
               "late news is void as well");
}

Test(crash_ledger, lets_go_after_the_hold_and_needs_one_more_end_to_hold_back_again) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) scene.end_engine(engine, {kGuilty});
  scene.pass(CrashLedgerSettings().hold - 1s);
  cr_assert(scene.held(kGuilty));
  scene.ledger.on_held_again(scene.now, kGuilty);
  scene.pass(2s);
  cr_assert(scene.held(kGuilty), "it counts from the last try");
  scene.pass(CrashLedgerSettings().hold);
  cr_assert_not(scene.held(kGuilty));
  scene.end_engine(4, {kGuilty});
  cr_assert(scene.held(kGuilty));
}

Test(crash_ledger, does_not_take_back_from_the_store_what_was_let_go) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) scene.end_engine(engine, {kGuilty});
  const auto held = scene.ledger.held(scene.now);
  scene.ledger.clear(scene.now, kGuilty);
  scene.ledger.restore(scene.now, held.front());
  cr_assert_not(scene.held(kGuilty));
  CrashLedger next_life;
  next_life.restore(scene.now, held.front());
  cr_assert(standing(next_life, scene.now, kGuilty).held_for.has_value());
}

Test(crash_ledger, holds_back_only_whose_copies_ended_engines_until_others_confirm_it) {
  // Nobody gets another's request refused by sending the same.
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) scene.end_engine(engine, {kGuilty});
  const auto other = [&] { return scene.ledger.standing(scene.now, {kGuilty, kOtherCaller}); };
  cr_assert(scene.held(kGuilty));
  cr_assert_not(other().held_for);
  cr_assert_not(scene.ledger.take_verdicts(scene.now).front().for_all());
  scene.ledger.on_broken(scene.now, {{kGuilty, kOtherCaller}, 4, false, false});
  scene.ledger.on_engine_ended(scene.now, 4);
  cr_assert(other().held_for.has_value());
  cr_assert(scene.ledger.take_verdicts(scene.now).front().for_all());
  cr_assert(scene.ledger.standing(scene.now, {kGuilty, 72}).held_for.has_value());
}

Test(crash_ledger, holds_back_at_the_third_end_what_comes_from_several_callers) {
  Scene scene;
  for (const EngineKey engine : {1, 2, 3}) {
    scene.ledger.on_broken(scene.now, {{kGuilty, kCaller + engine}, engine, false, false});
    scene.ledger.on_engine_ended(scene.now, engine);
  }
  cr_assert(scene.ledger.standing(scene.now, {kGuilty, 99}).held_for.has_value());
}

Test(crash_ledger, keeps_suspects_that_are_under_way_apart) {
  Scene scene;
  scene.end_engine(1, {kGuilty, kNeighbour});
  scene.ledger.begin_trial(scene.now, kGuilty, 2);
  cr_assert_eq(scene.ledger.engines_on_trial(scene.now, kNeighbour).count(2), 1U);
  cr_assert(scene.ledger.engines_on_trial(scene.now, kGuilty).empty(), "not from itself");
  cr_assert(standing(scene.ledger, scene.now, kGuilty).under_way);
  scene.end_engine(2, {kGuilty});
  cr_assert(scene.ledger.engines_on_trial(scene.now, kNeighbour).empty());
}

Test(crash_ledger, forgets_first_whom_least_speaks_against) {
  CrashLedgerSettings settings;
  settings.most_suspects = 20;
  CrashLedger ledger(settings);
  const MonotonicTime now{1000s};
  for (const EngineKey engine : {1, 2, 3}) {
    ledger.on_broken(now, broken(kGuilty, engine));
    ledger.on_engine_ended(now, engine);
  }
  for (std::uint64_t i = 0; i < 100; ++i) {
    ledger.on_broken(now + std::chrono::seconds(i), broken(RequestIdentity{100, i}, 9));
  }
  cr_assert(standing(ledger, now, kGuilty).held_for.has_value());
  cr_assert_not(standing(ledger, now, RequestIdentity{100, 0}).suspect(),
                "the oldest of the others");
  cr_assert(standing(ledger, now, RequestIdentity{100, 99}).suspect());
}

Test(crash_ledger, comes_to_the_same_whatever_the_order_of_the_news) {
  // Nodes hear the same in different orders; where one request alone is to blame, all hold it back.
  SHUNTBANK_PROPERTY("the guilty one is held back", [] {
    CrashLedger ledger;
    const MonotonicTime now{1000s};
    auto news = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 9));
    for (int piece = 0; piece < 9; ++piece) news.push_back(piece);
    for (const int piece : news) {
      const auto engine = static_cast<EngineKey>(piece % 3);
      if (piece < 3) ledger.on_broken(now, broken(kGuilty, engine));
      if (piece >= 3 && piece < 6) ledger.on_engine_ended(now, engine);
      if (piece >= 6) ledger.on_broken(now, broken(RequestIdentity{50, engine}, engine));
    }
    RC_ASSERT(standing(ledger, now, kGuilty).held_for.has_value());
    RC_ASSERT(ledger.held(now).size() == 1U);
  });
}
