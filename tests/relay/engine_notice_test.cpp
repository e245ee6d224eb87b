// Tests that notices in response headers take effect at once, even while the store is unavailable:
// a draining engine gets no requests, and a requested cooldown is respected.
#include <criterion/criterion.h>

#include <map>
#include <set>
#include <utility>

#include "relay/support/fakes.hpp"
#include "support/notice_checker.hpp"
#include "support/property.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

const HttpHeaders kCooldownRefusal{{"id", "r1"}, {"refused", "1"}, {"rest-seconds", "3"}};

HttpHeaders sealed_draining() {
  HttpHeaders headers = RelayFixture::sealed_headers();
  headers.add("leaving", "1");
  return headers;
}

std::string target_engine(RelayFixture& site, std::size_t transfer) {
  return std::string(site.http.at(transfer).request.headers.get("for-engine"));
}

/// Sends a request, which may use remote prefill. @return the engine that is to answer it.
std::string dispatch_prompt(RelayFixture& site) {
  const std::size_t next = site.http.count();
  site.request("/stream/b", {{"tokens", "20000"}});
  const bool remote_prefill = site.http.at(next).request.headers.count("stage") > 0;
  if (remote_prefill) site.http.answer(next, 200, {{"id", "r1"}}, "h2");
  return target_engine(site, site.http.count() - 1);
}

}  // namespace

Test(engine_notice, sends_nothing_to_an_engine_that_announced_draining) {
  RelayFixture site;
  site.add_engine("reader", "model", EngineStage::kPrefill);
  site.add_engine("d1", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  cr_assert_eq(target_engine(site, 1), "d1");
  site.add_engine("d2", "model", EngineStage::kDecode);
  // By load alone, all requests would go to d1, which announces draining.
  for (int i = 0; i < 6; ++i) site.node->engines().on_attempt_sent(EngineId("d2"), {20000, false});
  site.http.begin(1, 200, sealed_draining());
  for (int i = 0; i < 12; ++i) {
    cr_assert_eq(dispatch_prompt(site), "d2", "for remote prefills as well");
    site.http.answer(site.http.count() - 1, 200, RelayFixture::sealed_headers(),
                     "id: 1\ndata: a\n\n");
    site.runtime.advance(500ms);
    // The stored record is older than the engine's notice.
    site.add_engine("d1", "model", EngineStage::kDecode);
  }
  site.http.piece(1, "id: 1\ndata: a\n\n");
  site.http.finish(1);
  const std::size_t next = site.http.count();
  dispatch_prompt(site);
  site.http.answer(site.http.count() - 1, 503, {{"id", "r1"}, {"refused", "1"}}, "");
  for (std::size_t i = next; i < site.http.count(); ++i) {
    cr_assert_neq(target_engine(site, i), "d1", "even if no other engine is left");
  }
}

// A request that is still connecting when the notice arrives must not reach the engine.
Test(engine_notice, rechecks_the_engine_before_the_first_byte) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.request("/once/a");
  const auto reply = site.request("/once/b");
  cr_assert_eq(target_engine(site, 1), "e1");
  cr_assert(site.http.at(1).request.still_wanted());
  site.http.answer(0, 503, kCooldownRefusal, "");
  cr_assert_not(site.http.at(1).request.still_wanted());
  site.add_engine("e2", "plain");
  site.http.fail(1, TransferFailure::kWithdrawn);
  cr_assert_eq(target_engine(site, 2), "e2", "the request has not reached any engine");
  site.http.answer(2, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(reply->status, 200);
  site.runtime.advance(3s);
  cr_assert_lt(site.node->engines().find(EngineId("e1"))->failure_rate, 0.01,
               "a cooldown is not a failure");
}

Test(engine_notice, respects_the_requested_cooldown) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  site.request("/safe/a");
  site.http.answer(0, 503, kCooldownRefusal, "");
  site.add_engine("e2", "plain");
  int received = 0;
  for (int i = 0; i < 14; ++i) {
    site.runtime.advance(200ms);
    const std::size_t next = site.http.count();
    site.request("/safe/b");
    // If the other engine fails too, only the one in cooldown is left.
    for (std::size_t at = next; at < site.http.count(); ++at) {
      received += target_engine(site, at) == "e1" ? 1 : 0;
      site.http.answer(at, 503, {{"id", "r1"}, {"refused", "1"}}, "");
    }
  }
  cr_assert_leq(received, NoticeChecker::kMaxRequestsInCooldown);
  site.runtime.advance(400ms);
  site.node->remove_engine("e2");
  const std::size_t next = site.http.count();
  site.request("/safe/c");
  cr_assert_eq(target_engine(site, next), "e1", "the cooldown is over");
}

Test(engine_notice, sets_retry_after_to_the_earliest_cooldown_end) {
  RelayFixture site;
  for (const char* id : {"e1", "e2"}) site.add_engine(id, "plain");
  site.request("/once/a");
  site.http.answer(0, 503, {{"id", "r1"}, {"refused", "1"}, {"rest-seconds", "3"}}, "");
  site.http.answer(1, 503, {{"id", "r1"}, {"refused", "1"}, {"rest-seconds", "2"}}, "");
  site.runtime.advance(400ms);
  const auto reply = site.request("/once/b");
  cr_assert_eq(site.http.count(), 2, "no request is sent");
  cr_assert_eq(reply->status, 503);
  cr_assert_eq(reply->headers.get("Retry-After"), "1.60");
  // One of them drains, as reported by another node.
  site.node->engines().on_draining(EngineId("e2"));
  cr_assert_eq(site.request("/once/c")->headers.get("Retry-After"), "2.60");
  site.node->engines().on_draining(EngineId("e1"));
  const auto none = site.request("/once/d");
  cr_assert_eq(none->status, 503);
  cr_assert_eq(none->headers.get("Retry-After"), "0.25", "default when no engine is left");
}

// Refusing requests that can wait for the end of a cooldown would fail them needlessly.
Test(engine_notice, queues_a_request_that_can_meet_its_objective_after_a_cooldown) {
  RelayFixture site;
  for (const char* id : {"e1", "e2"}) site.add_engine(id, "plain");
  site.request("/once/a");
  site.http.answer(0, 503, {{"id", "r1"}, {"refused", "1"}, {"rest-seconds", "3"}}, "");
  site.http.answer(1, 503, {{"id", "r1"}, {"refused", "1"}, {"rest-seconds", "2"}}, "");
  site.runtime.advance(1700ms);
  const auto queued = site.request("/once/b");
  const auto abandoned = site.request("/once/c");
  cr_assert_eq(queued->status, 0, "the objective is 1 s");
  site.caller->disconnect();
  cr_assert_eq(site.node->in_flight(), 1);
  site.runtime.advance(299ms);
  cr_assert_eq(site.http.count(), 2);
  site.runtime.advance(1ms);
  cr_assert_eq(site.http.count(), 3, "the disconnected caller's request is dropped");
  cr_assert_eq(target_engine(site, 2), "e2");
  site.http.answer(2, 200, RelayFixture::sealed_headers(), "whole");
  cr_assert_eq(queued->status, 200);
  cr_assert_eq(abandoned->status, 0);
}

Test(engine_notice, refuses_a_request_that_would_be_late_or_has_tried_all_engines) {
  RelayFixture site;
  site.add_engine("e1", "plain");
  const auto first = site.request("/once/a");
  site.http.answer(0, 503, {{"id", "r1"}, {"refused", "1"}, {"rest-seconds", "2"}}, "");
  cr_assert_eq(first->status, 503);
  const auto late = site.request("/once/b");
  cr_assert_eq(late->status, 503, "at once");
  cr_assert_eq(late->headers.get("Retry-After"), "2.00");
  // The caller's deadline is before the end of the cooldown, though the objective is later.
  site.runtime.advance(1500ms);
  const auto short_of_time = site.request("/once/c", {{"deadline", "400"}});
  cr_assert_eq(short_of_time->status, 503, "at once, not at the deadline");
  site.runtime.advance(200ms);
  // With a latency of 0.9 s and 0.3 s of cooldown left, the objective of 1 s would be missed.
  site.node->engines().on_latency(EngineId("e1"), 900ms);
  cr_assert_eq(site.request("/once/d")->status, 503);
}

// Otherwise the prompt would be prefilled a second time after the cooldown.
Test(engine_notice, reuses_a_remote_prefill_after_the_wait) {
  RelayFixture site;
  site.add_engine("reader", "model", EngineStage::kPrefill);
  site.add_engine("d", "model", EngineStage::kDecode);
  site.request("/stream/a", {{"tokens", "20000"}});
  cr_assert_eq(target_engine(site, 0), "reader");
  site.node->engines().on_cooldown(site.runtime.now(), EngineId("d"), 100ms);
  site.http.answer(0, 200, {{"id", "r1"}}, "h1");
  cr_assert_eq(site.http.count(), 1);
  site.runtime.advance(100ms);
  cr_assert_eq(site.http.count(), 2);
  cr_assert_eq(target_engine(site, 1), "d");
  cr_assert_eq(site.http.at(1).request.headers.get("source"), "reader:80/h1");
}

namespace {

/// A node with engines under random events, and a checker of its sends.
class RandomizedSite {
 public:
  RandomizedSite() {
    for (std::size_t i = 0; i < kEngines; ++i) {
      this->incarnations[i] = 1;
      this->update_record(i);
    }
  }

  /// Applies one event. @return the violation found, or empty text.
  std::string apply_event(std::uint32_t random) {
    const std::uint32_t kind = random % 16;
    const std::size_t which = random / 16;
    if (kind < 6) {
      this->site.request(which % 2 == 0 ? "/safe/a" : "/resumable/a", {{"tokens", "8000"}});
    } else if (kind < 12) {
      this->answer(which);
    } else if (kind < 14) {
      this->change_record(which);
    } else {
      this->site.runtime.advance(std::chrono::milliseconds(which % 1700));
    }
    return this->check_sends();
  }

 private:
  static constexpr std::size_t kEngines = 6;

  std::string incarnation(std::size_t engine) const {
    return relay::incarnation_id("e" + std::to_string(engine), this->incarnations.at(engine))
        .value();
  }

  /// Delivers the store's record of an engine, without the draining flag.
  void update_record(std::size_t engine) {
    relay::EngineRecord record;
    record.name = "e" + std::to_string(engine);
    record.started_unix_ms = this->incarnations[engine];
    record.id = EngineId(this->incarnation(engine));
    record.service = ServiceName(engine < 3 ? "plain" : "model");
    record.address = record.name + ":80";
    record.slots = 8;
    record.zone = ZoneName(this->zone_changed[engine] ? "z2" : "z1");
    if (engine >= 3) record.stage = engine == 3 ? EngineStage::kPrefill : EngineStage::kDecode;
    this->site.node->set_engine(record);
  }

  void change_record(std::size_t random) {
    const std::size_t engine = random % kEngines;
    const std::string name = "e" + std::to_string(engine);
    switch (random / kEngines % 5) {
      case 0:
        return this->site.node->remove_engine(name);
      case 1:
        return this->site.node->invalidate_engine(name);
      case 2:
        this->zone_changed[engine] = !this->zone_changed[engine];
        return this->update_record(engine);
      case 3:
        ++this->incarnations[engine];
        return this->update_record(engine);
      default:
        return this->update_record(engine);
    }
  }

  void answer(std::size_t random) {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < this->site.http.count(); ++i) {
      const SentRequest& sent = this->site.http.at(i);
      if (!sent.done && !sent.cancelled) open.push_back(i);
    }
    if (open.empty()) return;
    const std::size_t transfer = open[random % open.size()];
    if (this->connecting.count(transfer) > 0) return this->connect(transfer);
    const std::uint64_t outcome = random / 8 % 8;
    if (outcome == 0) return this->site.http.fail(transfer, TransferFailure::kUncertain);
    if (outcome == 1) return this->site.http.fail(transfer, TransferFailure::kNothingSent);
    const bool refused = outcome < 5;
    HttpHeaders headers = RelayFixture::sealed_headers();
    const std::string& incarnation = this->sent_to[transfer];
    if (random / 64 % 4 == 0) {
      headers.add("leaving", "1");
      this->checker.on_draining_received(this->site.runtime.now(), {"", incarnation});
    }
    const std::uint64_t cooldown = random / 256 % 5;
    if (refused) headers.add("refused", "1");
    if (refused && cooldown > 0) {
      headers.add("rest-seconds", std::to_string(cooldown));
      this->checker.on_cooldown_requested(this->site.runtime.now(), {"", incarnation},
                                          std::chrono::seconds(cooldown));
    }
    this->site.http.answer(transfer, refused ? 503 : 200, headers, "id: 1\ndata: a\n\n");
  }

  /// Every third request is delivered only after a connection delay.
  std::string check_sends() {
    for (; this->checked_transfers < this->site.http.count(); ++this->checked_transfers) {
      const HttpHeaders& headers = this->site.http.at(this->checked_transfers).request.headers;
      if (headers.count("id") == 0) continue;
      const std::string name(headers.get("for-engine"));
      this->sent_to[this->checked_transfers] = this->incarnation(std::stoul(name.substr(1)));
      if (this->checked_transfers % 3 == 0) {
        this->connecting.insert(this->checked_transfers);
      } else {
        this->deliver(this->checked_transfers);
      }
    }
    return this->violation;
  }

  void deliver(std::size_t transfer) {
    const MonotonicTime now = this->site.runtime.now();
    const std::string result = this->checker.on_request(now, {"", this->sent_to.at(transfer)}, now);
    if (this->violation.empty()) this->violation = result;
  }

  void connect(std::size_t transfer) {
    this->connecting.erase(transfer);
    if (this->site.http.at(transfer).request.still_wanted()) return this->deliver(transfer);
    this->site.http.fail(transfer, TransferFailure::kWithdrawn);
  }

  RelayFixture site;
  NoticeChecker checker{Duration::zero()};
  std::map<std::size_t, std::uint64_t> incarnations;
  std::map<std::size_t, bool> zone_changed;
  std::map<std::size_t, std::string> sent_to;
  std::set<std::size_t> connecting;
  std::size_t checked_transfers = 0;
  std::string violation;
};

}  // namespace

Test(engine_notice, holds_for_any_order_of_events) {
  SHUNTBANK_PROPERTY("no send violates a notice of an engine incarnation", [] {
    const auto events = *rc::gen::container<std::vector<std::uint32_t>>(
        200, rc::gen::inRange<std::uint32_t>(0, 1U << 24U));
    RandomizedSite site;
    for (const std::uint32_t event : events) RC_ASSERT(site.apply_event(event) == "");
  });
}
