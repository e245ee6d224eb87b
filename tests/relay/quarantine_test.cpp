#include "relay/quarantine.hpp"

#include <criterion/criterion.h>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::CrashNews;
using relay::RequestIdentity;

namespace {

constexpr RequestIdentity kRequest{1, 1};
constexpr relay::CallerRequest kTried{kRequest, 5};
const std::vector<std::string> kEngines{"a", "b", "c", "d"};

/// A node with four engines.
struct Scene {
  Scene() {
    for (const std::string& id : kEngines) this->site.add_engine(id, "plain");
  }

  relay::Quarantine& quarantine() { return this->site.node->quarantine(); }

  /// An engine breaks off what it was sent just now.
  void break_off(const std::string& engine) {
    this->quarantine().on_broken(kTried, EngineId(engine), this->site.runtime.now());
  }

  /// Lets all questions to engines be answered, or find nobody.
  void answer_questions(bool alive) {
    for (std::size_t i = 0; i < this->site.http.count(); ++i) {
      if (this->site.http.at(i).done) continue;
      if (alive) {
        this->site.http.answer(i, 200, {}, "decode");
      } else {
        this->site.http.refuse_connection(i);
      }
    }
  }

  std::vector<relay::CrashReport> reports() { return this->quarantine().take_reports(); }

  RelayFixture site;
};

}  // namespace

Test(quarantine, asks_no_engine_for_one_broken_request) {
  Scene scene;
  scene.break_off("a");
  cr_assert_eq(scene.site.http.count(), 0U);
  cr_assert(scene.reports().empty(), "nobody needs to know while the try goes on");
}

Test(quarantine, suspects_nobody_whose_engines_live) {
  Scene scene;
  for (const char* engine : {"a", "b", "c"}) scene.break_off(engine);
  scene.answer_questions(true);
  cr_assert_not(scene.quarantine().standing(kTried).suspect());
  scene.site.runtime.advance(1s);
  cr_assert_eq(scene.site.http.count(), 3U, "each engine was asked once");
}

Test(quarantine, holds_back_whose_engines_have_ended) {
  Scene scene;
  for (const char* engine : {"a", "b", "c"}) scene.break_off(engine);
  cr_assert_not(scene.quarantine().standing(kTried).held_for, "not before it is known");
  scene.answer_questions(false);
  cr_assert(scene.quarantine().standing(kTried).held_for.has_value());
}

Test(quarantine, does_not_count_engines_that_had_said_that_they_leave) {
  Scene scene;
  for (const char* engine : {"a", "b", "c"}) {
    scene.site.add_engine(engine, "plain", relay::EngineStage::kNone, true);
    scene.break_off(engine);
  }
  cr_assert_not(scene.quarantine().standing(kTried).suspect());
}

Test(quarantine, does_not_blame_what_was_sent_after_the_engine_had_ended) {
  // A connection may still be taken on behalf of an engine that is gone.
  Scene scene;
  for (const char* engine : {"a", "b", "c"}) scene.quarantine().on_engine_ended(EngineId(engine));
  scene.site.runtime.advance(1ms);
  for (const char* engine : {"a", "b", "c"}) scene.break_off(engine);
  cr_assert_not(scene.quarantine().standing(kTried).suspect());
}

Test(quarantine, learns_of_an_end_from_the_list_and_from_who_has_the_address) {
  Scene scene;
  for (const char* engine : {"a", "b"}) scene.break_off(engine);
  scene.site.node->remove_engine("a");
  cr_assert_eq(scene.quarantine().standing(kTried).ended, 1U);
  relay::EngineRecord next;
  next.id = EngineId("b2");
  next.service = ServiceName("plain");
  next.address = "b:80";
  scene.site.node->set_engine(next);
  cr_assert_eq(scene.quarantine().standing(kTried).ended, 2U);
}

Test(quarantine, believes_an_engine_that_is_listed_again) {
  // The store was away for a while, and with it the engine's entry.
  Scene scene;
  scene.break_off("a");
  scene.site.node->remove_engine("a");
  scene.site.runtime.advance(1s);
  scene.site.add_engine("a", "plain");
  cr_assert_not(scene.quarantine().standing(kTried).suspect());
}

Test(quarantine, tells_the_others_a_few_times_when_a_try_has_failed) {
  Scene scene;
  scene.break_off("a");
  scene.quarantine().on_failed(kRequest);
  int told = 0;
  for (int i = 0; i < 20; ++i) {
    for (const relay::CrashReport& report : scene.reports()) {
      cr_assert(report.news == CrashNews::kBroken);
      cr_assert(report.request == kRequest);
      ++told;
    }
    scene.site.runtime.advance(100ms);
  }
  cr_assert_eq(told, 4);
}

Test(quarantine, tells_of_an_engine_that_went_dark_once_it_is_known) {
  Scene scene;
  scene.quarantine().on_silent(kTried, EngineId("a"), scene.site.runtime.now());
  scene.quarantine().on_failed(kRequest);
  cr_assert(scene.reports().empty(), "silence alone says nothing");
  scene.site.node->remove_engine("a");
  const auto reports = scene.reports();
  cr_assert_eq(reports.size(), 1U);
  cr_assert(reports.front().news == CrashNews::kEnded);
}

Test(quarantine, tells_that_a_request_ran_to_its_end_only_where_others_suspect_it) {
  Scene scene;
  scene.break_off("a");
  scene.quarantine().on_answered(kRequest);
  cr_assert(scene.reports().empty());
  scene.site.runtime.advance(1ms);
  scene.break_off("b");
  scene.quarantine().on_failed(kRequest);
  scene.reports();
  scene.quarantine().on_answered(kRequest);
  const auto reports = scene.reports();
  cr_assert(reports.back().news == CrashNews::kCleared);
}

Test(quarantine, tells_whoever_it_heard_it_from_that_a_request_ran_to_its_end) {
  Scene scene;
  scene.quarantine().learn({{CrashNews::kEnded, kRequest, 1, 5, 100}});
  cr_assert(scene.reports().empty(), "those who have seen it tell");
  scene.quarantine().on_answered(kRequest);
  const auto reports = scene.reports();
  cr_assert_eq(reports.size(), 1U);
  cr_assert(reports.front().news == CrashNews::kCleared);
}

Test(quarantine, lets_go_what_an_operator_speaks_for) {
  Scene scene;
  for (const char* engine : {"a", "b", "c"}) scene.break_off(engine);
  scene.answer_questions(false);
  cr_assert_eq(scene.quarantine().held().size(), 1U);
  cr_assert(scene.quarantine().lift(kRequest));
  cr_assert(scene.quarantine().held().empty());
  cr_assert_not(scene.quarantine().lift(kRequest), "once");
}
