#include "store/kind_watch.hpp"

#include <criterion/criterion.h>

#include <set>

#include "relay/support/fakes.hpp"
#include "relay/support/gated_store.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

struct WatchFixture {
  WatchFixture() {
    handlers.on_list = [this](const store::ObjectList& list) {
      names.clear();
      for (const auto& object : list.objects) names.insert(object.name);
    };
    handlers.on_change = [this](const store::ObjectChange& change) {
      if (change.deleted) {
        names.erase(change.object.name);
      } else {
        names.insert(change.object.name);
      }
    };
  }
  void start() {
    watch = std::make_unique<store::KindWatch>(runtime, path, "k", settings, handlers);
  }
  /// Starts with one object and a long-poll timeout of 30 s, then changes the store without
  /// notifying the watch in flight.
  void start_and_miss_change(const std::string& name) {
    store.put("k", "a", {});
    settings.wait = 30s;
    start();
    runtime.advance(1ms);
    store.drop_notifications = true;
    store.put("k", name, {});
    store.drop_notifications = false;
  }
  /// Starts with one object, a long-poll timeout of 30 s and `kMayLag`, then freezes the replica
  /// and changes the store.
  void start_with_stale_replica(const std::string& name) {
    store.put("k", "a", {});
    settings.freshness = store::Freshness::kMayLag;
    settings.wait = 30s;
    start();
    runtime.advance(1ms);
    store.replica_revision = store.revision();
    store.put("k", name, {});
  }
  store::KindWatchSettings settings;
  ManualRuntime runtime;
  MemoryStore store{runtime};
  GatedStore path{runtime, store};
  store::KindWatchHandlers handlers;
  std::set<std::string> names;
  std::unique_ptr<store::KindWatch> watch;
};

}  // namespace

Test(kind_watch, applies_changes) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.start();
  fixture.runtime.advance(1ms);
  cr_assert_eq(fixture.names.count("a"), 1);
  fixture.store.put("k", "b", {});
  fixture.store.remove("k", "a");
  fixture.runtime.advance(fixture.settings.batch_delay + 20ms);
  cr_assert_eq(fixture.names, std::set<std::string>{"b"});
}

Test(kind_watch, batches_changes_that_come_close_together) {
  // Guards against a call per change while many engines register.
  WatchFixture fixture;
  fixture.start();
  fixture.runtime.advance(1ms);
  for (int i = 0; i < 200; ++i) {
    fixture.store.put("k", "e" + std::to_string(i), {});
    fixture.runtime.advance(5ms);
  }
  fixture.runtime.advance(fixture.settings.batch_delay + 20ms);
  cr_assert_eq(fixture.names.size(), 200);
  cr_assert_leq(fixture.store.watches, 6);
}

Test(kind_watch, uses_the_configured_batch_delay) {
  WatchFixture fixture;
  fixture.start();
  fixture.runtime.advance(1ms);
  fixture.watch->set_batch_delay(900ms);
  for (int i = 0; i < 200; ++i) {
    fixture.store.put("k", "e" + std::to_string(i), {});
    fixture.runtime.advance(5ms);
  }
  fixture.runtime.advance(920ms);
  cr_assert_eq(fixture.names.size(), 200);
  cr_assert_leq(fixture.store.watches, 4);
}

Test(kind_watch, repeats_the_call_when_a_hint_shows_a_missed_change) {
  WatchFixture fixture;
  fixture.start_and_miss_change("b");
  fixture.runtime.advance(3s);
  cr_assert_eq(fixture.names.count("b"), 0, "the call in flight misses the change");
  fixture.watch->hint(fixture.store.revision());
  fixture.runtime.advance(fixture.settings.hint_grace + 20ms);
  cr_assert_eq(fixture.names.count("b"), 1);
  cr_assert_eq(fixture.watch->newest_change(), fixture.store.revision());
}

// Guards against a watch that waits, when the store answers again, for a call lost before.
Test(kind_watch, catches_up_within_the_hint_grace_after_a_silence_of_the_store) {
  for (Duration silence = 4s; silence < 9s; silence += 100ms) {
    WatchFixture fixture;
    fixture.store.put("k", "a", {});
    fixture.start();
    fixture.runtime.advance(1ms);
    fixture.path.set_silent(true);
    fixture.store.put("k", "b", {});
    for (Duration elapsed{}; elapsed < silence; elapsed += 100ms) {
      fixture.watch->hint(fixture.store.revision());
      fixture.runtime.advance(100ms);
    }
    fixture.path.set_silent(false);
    fixture.runtime.advance(fixture.settings.hint_grace + 100ms);
    cr_assert_eq(fixture.names.count("b"), 1, "after a silence of %lld ms",
                 static_cast<long long>(whole_ms(silence)));
  }
}

// Guards against calls to a slow store that are each cancelled before they are answered.
Test(kind_watch, waits_for_the_first_call_to_a_slow_store) {
  WatchFixture fixture;
  SlowLink link(fixture.runtime, 1'000'000);
  fixture.store.link = &link;
  fixture.store.answer_delay = 1700ms;
  fixture.store.put("k", "a", {});
  fixture.settings.wait = 30s;
  fixture.start();
  fixture.runtime.advance(4s);
  const int before = fixture.store.watches;
  fixture.store.put("k", "b", {});
  fixture.watch->hint(fixture.store.revision());
  fixture.runtime.advance(1800ms);
  cr_assert_eq(fixture.names.count("b"), 1);
  cr_assert_leq(fixture.store.watches - before, 3, "one call each hint grace beside the first");
}

// Guards against a starting watch that gives each call up before a slow store answers, with hints
// of newer changes and without.
Test(kind_watch, confirms_the_first_list_of_a_store_that_answers_slowly) {
  for (const bool newest_only : {false, true}) {
    for (const bool hinted : {false, true}) {
      for (Duration delay = 300ms; delay < 3s; delay += 200ms) {
        WatchFixture fixture;
        SlowLink link(fixture.runtime, 1'000'000);
        fixture.store.link = &link;
        fixture.store.answer_delay = delay;
        fixture.store.put("k", "a", {});
        fixture.settings.freshness = store::Freshness::kMayLag;
        fixture.settings.newest_only = newest_only;
        fixture.start();
        const int steps = 150;
        for (int i = 0; i < steps && fixture.names.empty(); ++i) {
          if (hinted) fixture.watch->hint(fixture.store.revision());
          fixture.runtime.advance(100ms);
        }
        cr_assert_eq(fixture.names.count("a"), 1,
                     "newest_only %d, hinted %d: nothing in 15 s at %lld ms an answer", newest_only,
                     hinted, static_cast<long long>(whole_ms(delay)));
        cr_assert_leq(fixture.store.watches, 16, "at most one call each hint grace");
      }
    }
  }
}

// Guards against a watch that repeats a lost call so often that a slow store never answers it.
Test(kind_watch, follows_a_store_that_answers_slowly_after_a_lost_call) {
  for (const bool newest_only : {false, true}) {
    for (Duration delay = 300ms; delay < 3s; delay += 200ms) {
      WatchFixture fixture;
      SlowLink link(fixture.runtime, 1'000'000);
      fixture.store.link = &link;
      fixture.store.put("k", "a", {});
      fixture.settings.newest_only = newest_only;
      fixture.start();
      fixture.runtime.advance(1s);
      fixture.path.set_silent(true);
      fixture.path.set_silent(false);
      fixture.store.answer_delay = delay;
      fixture.store.put("k", "b", {});
      const Duration call_timeout = fixture.settings.wait * 12 / 10 + fixture.settings.wait_slack;
      Duration elapsed{};
      while (fixture.names.count("b") == 0 && elapsed < call_timeout + 2 * delay) {
        fixture.watch->hint(fixture.store.revision());
        fixture.runtime.advance(100ms);
        elapsed += 100ms;
      }
      cr_assert_eq(fixture.names.count("b"), 1, "newest_only %d, %lld ms an answer", newest_only,
                   static_cast<long long>(whole_ms(delay)));
    }
  }
}

Test(kind_watch, ignores_a_hint_of_a_known_revision) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.start();
  fixture.runtime.advance(1ms);
  fixture.watch->hint(fixture.store.revision());
  fixture.runtime.advance(1s);
  cr_assert_eq(fixture.store.watches, 1);
}

Test(kind_watch, ignores_the_answer_of_a_cancelled_call) {
  WatchFixture fixture;
  fixture.start_and_miss_change("b");
  fixture.watch->hint(fixture.store.revision());
  fixture.runtime.advance(fixture.settings.hint_grace + 20ms);
  fixture.store.remove("k", "b");
  // The cancelled call would return both the addition and the removal of `b`.
  fixture.runtime.advance(fixture.settings.batch_delay + 20ms);
  cr_assert_eq(fixture.names, std::set<std::string>{"a"});
}

Test(kind_watch, lists_again_when_the_history_is_gone) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.start();
  fixture.runtime.advance(1ms);
  fixture.store.remove("k", "a");
  fixture.store.put("k", "b", {});
  fixture.store.forget_history();
  fixture.runtime.advance(2s);
  cr_assert_eq(fixture.store.lists, 2);
  cr_assert_eq(fixture.names, std::set<std::string>{"b"});
}

Test(kind_watch, retries_with_backoff_while_the_store_is_down) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.store.down = true;
  fixture.start();
  fixture.runtime.advance(20s);
  cr_assert(fixture.watch->lost());
  cr_assert_leq(fixture.store.lists, 60);
  fixture.store.down = false;
  fixture.runtime.advance(2s);
  cr_assert_eq(fixture.names.count("a"), 1, "listed within two seconds");
  cr_assert_not(fixture.watch->lost());
}

Test(kind_watch, serves_the_last_known_state_while_the_store_is_down) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.start();
  fixture.runtime.advance(1ms);
  fixture.store.down = true;
  fixture.runtime.advance(30s);
  cr_assert_eq(fixture.names.count("a"), 1);
}

Test(kind_watch, confirms_a_stale_list_before_reporting_it) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.store.replica_revision = fixture.store.revision();
  fixture.store.put("k", "b", {});
  fixture.store.remove("k", "a");
  fixture.settings.freshness = store::Freshness::kMayLag;
  std::vector<std::size_t> list_sizes;
  fixture.handlers.on_list = [&](const store::ObjectList& list) {
    list_sizes.push_back(list.objects.size());
  };
  fixture.start();
  fixture.runtime.advance(1ms);
  cr_assert_eq(list_sizes, std::vector<std::size_t>{1});
  cr_assert_eq(fixture.names, std::set<std::string>{"b"});
  cr_assert_eq(fixture.store.latest_calls, 1, "one watch confirms the list");
}

Test(kind_watch, does_not_report_an_unconfirmed_list) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.settings.freshness = store::Freshness::kMayLag;
  bool listed = false;
  fixture.handlers.on_list = [&](const auto&) { listed = true; };
  fixture.start();
  fixture.store.down = true;  // The list is in flight, and the next call fails.
  fixture.runtime.advance(1ms);
  cr_assert_not(listed);
  fixture.store.down = false;
  fixture.runtime.advance(1s);
  cr_assert(listed);
}

Test(kind_watch, requests_the_latest_state_when_a_hint_is_newer_than_the_replica) {
  WatchFixture fixture;
  fixture.start_with_stale_replica("b");
  fixture.runtime.advance(3s);
  cr_assert_eq(fixture.names.count("b"), 0, "the replica lags");
  fixture.watch->hint(fixture.store.revision());
  fixture.runtime.advance(fixture.settings.hint_grace + 20ms);
  cr_assert_eq(fixture.names.count("b"), 1);
}

Test(kind_watch, never_reverts_to_an_older_state) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.settings.freshness = store::Freshness::kMayLag;
  fixture.start();
  fixture.runtime.advance(1ms);
  fixture.store.replica_revision = fixture.store.revision();
  fixture.store.remove("k", "a");
  fixture.store.put("k", "b", {});
  fixture.watch->hint(fixture.store.revision());
  fixture.runtime.advance(10s);
  cr_assert_eq(fixture.names, std::set<std::string>{"b"});
  fixture.store.forget_history();
  fixture.store.replica_revision = 2;
  fixture.runtime.advance(10s);
  cr_assert_eq(fixture.names, std::set<std::string>{"b"}, "although the replica still has a");
}

Test(kind_watch, repeats_the_call_when_switched_to_latest) {
  WatchFixture fixture;
  fixture.start_with_stale_replica("b");
  fixture.watch->set_freshness(store::Freshness::kLatest);
  fixture.runtime.advance(1ms);
  cr_assert_eq(fixture.names.count("b"), 1);
}

Test(kind_watch, a_hint_shortens_the_backoff) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.settings.max_backoff = 30s;
  fixture.start();
  fixture.runtime.advance(1ms);
  fixture.store.down = true;
  fixture.runtime.advance(60s);
  fixture.store.down = false;
  fixture.store.put("k", "b", {});
  for (int i = 0; i < 20; ++i) {
    fixture.watch->hint(fixture.store.revision());
    fixture.runtime.advance(10ms);
  }
  cr_assert_eq(fixture.names.count("b"), 1);
}

Test(kind_watch, does_not_request_the_latest_state_during_the_batch_delay) {
  // Guards against expensive calls for the latest state when hints of newer revisions arrive during
  // the batch delay.
  WatchFixture fixture;
  fixture.settings.freshness = store::Freshness::kMayLag;
  fixture.settings.confirm_first_list = false;
  fixture.start();
  fixture.runtime.advance(1ms);
  fixture.watch->set_batch_delay(1300ms);
  for (int i = 0; i < 50; ++i) {
    fixture.store.put("k", "e" + std::to_string(i), {});
    fixture.watch->hint(fixture.store.revision());
    fixture.runtime.advance(100ms);
  }
  fixture.runtime.advance(2s);
  cr_assert_eq(fixture.names.size(), 50);
  cr_assert_eq(fixture.store.latest_calls, 0);
}

Test(kind_watch, makes_no_calls_while_suspended) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.start();
  fixture.runtime.advance(1ms);
  fixture.watch->suspend();
  const int before = fixture.store.watches + fixture.store.lists;
  fixture.store.put("k", "b", {});
  fixture.watch->hint(fixture.store.revision());
  fixture.runtime.advance(20s);
  cr_assert_eq(fixture.store.watches + fixture.store.lists, before);
  cr_assert_eq(fixture.watch->behind_for(), 20s);
  fixture.watch->resume();
  fixture.runtime.advance(1ms);
  cr_assert_eq(fixture.names, (std::set<std::string>{"a", "b"}));
  cr_assert_eq(fixture.watch->behind_for(), 0s);
}

Test(kind_watch, continues_after_a_state_from_elsewhere_without_a_list) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.store.down = true;
  fixture.start();
  fixture.runtime.advance(1s);
  fixture.watch->adopt(fixture.store.revision(), fixture.store.revision());
  cr_assert_eq(fixture.watch->newest_change(), fixture.store.revision());
  fixture.store.down = false;
  fixture.store.put("k", "b", {});
  const int lists = fixture.store.lists;
  fixture.runtime.advance(2s);
  cr_assert_eq(fixture.names, (std::set<std::string>{"b"}), "only what has changed since");
  cr_assert_eq(fixture.store.lists, lists);
}

Test(kind_watch, lists_again_after_a_list_that_was_suspended_before_its_confirmation) {
  WatchFixture fixture;
  fixture.store.put("k", "a", {});
  fixture.settings.freshness = store::Freshness::kMayLag;
  fixture.start();
  fixture.watch->suspend();
  fixture.runtime.advance(1s);
  cr_assert(fixture.names.empty());
  fixture.watch->resume();
  fixture.runtime.advance(1s);
  cr_assert_eq(fixture.names, (std::set<std::string>{"a"}));
}
