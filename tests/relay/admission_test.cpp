#include "core/relay/admission.hpp"

#include <criterion/criterion.h>

#include "common/hash.hpp"
#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;
using relay::EngineStage;

namespace {

/// One engine of a model service with eight slots.
struct ShortFleet {
  explicit ShortFleet(bool admission = true) {
    this->site.settings.admission.enabled = admission;
    this->site.restart();
    this->site.node->set_fleet({7, 0});
    this->site.runtime.advance(relay::charge_duration(this->site.settings.retry_budget));
    this->site.add_engine("d1", "model", EngineStage::kDecode);
  }

  /// Other nodes have requests and prompts to prefill there.
  void set_peer_load(std::uint32_t requests, std::uint64_t tokens) {
    this->site.node->engines().on_peer_load(this->site.runtime.now(), NodeId("n2"),
                                            {{EngineId("d1"), {requests, tokens, 0}}});
  }

  std::shared_ptr<RecordedReply> request(const std::string& id = "r1",
                                         const std::string& body = "body") {
    return this->site.request("/stream/a", {{"id", id}, {"tokens", "400"}, {"deadline", "2500"}},
                              "POST", body);
  }

  RelayFixture site;
};

constexpr std::uint64_t kUnservableTokens = 2000000;

/// A short fleet with two tenants, of which `large` has got most of the service.
struct TenantFleet : ShortFleet {
  TenantFleet() {
    relay::RouteConfiguration configuration = RelayFixture::configuration(2);
    configuration.tenants.emplace();
    for (const char* name : {"large", "small"}) {
      relay::DeclaredTenant tenant;
      tenant.name = TenantName(name);
      tenant.keys.push_back({sha256_hex(name), std::nullopt});
      configuration.tenants->push_back(tenant);
    }
    this->site.node->adopt(std::move(configuration));
    relay::FairShares& shares = this->site.node->shares();
    const MonotonicTime now = this->site.runtime.now();
    for (const char* name : {"large", "small"}) shares.on_request(now, TenantName(name));
    shares.on_served(now, TenantName("large"), 100000);
    this->site.runtime.advance(200ms);
  }

  /// @return the urgency that the request is sent with, or nothing if it is not sent.
  std::string urgency_of(const std::string& tenant) {
    const std::size_t before = this->site.http.count();
    const std::string id = "r" + std::to_string(before);
    this->site.request("/stream/a",
                       {{"id", id}, {"key", tenant}, {"tokens", "400"}, {"deadline", "2500"}},
                       "POST", id);
    if (this->site.http.count() == before) return "";
    return std::string(this->site.http.at(before).request.headers.get("urgency"));
  }
};

}  // namespace

Test(relay_admission, refuses_at_once_what_cannot_be_answered_before_its_deadline) {
  ShortFleet fleet;
  fleet.set_peer_load(20, kUnservableTokens);
  const auto reply = fleet.request();
  cr_assert_eq(reply->status, 503);
  cr_assert_eq(fleet.site.http.count(), 0);
  cr_assert_neq(fleet.site.node->metrics().to_text().find(
                    R"(shuntbank_relay_admissions_total{decision="refuse",service="model"} 1)"),
                std::string::npos);
}

Test(relay_admission, tells_refused_callers_to_return_one_after_another) {
  ShortFleet fleet;
  fleet.set_peer_load(20, kUnservableTokens);
  double last = 0;
  for (const char* id : {"r1", "r2", "r3"}) {
    const auto reply = fleet.request(id, id);
    const double told = std::stod(std::string(reply->headers.get("Retry-After")));
    cr_assert_neq(told, last);
    cr_assert_leq(told, 0.84, "a third of the deadline");
    last = told;
  }
}

// A second refusal is worse for the caller than a late answer. The id of the retry differs.
Test(relay_admission, serves_a_returning_request_late) {
  ShortFleet fleet;
  fleet.set_peer_load(20, kUnservableTokens);
  fleet.request("r1");
  fleet.request("r2");
  cr_assert_eq(fleet.site.http.count(), 1);
  cr_assert_eq(fleet.site.http.at(0).request.headers.get("urgency"), "9");
}

Test(relay_admission, serves_late_what_is_expected_before_its_deadline) {
  ShortFleet fleet;
  fleet.set_peer_load(20, 30000);
  fleet.request();
  cr_assert_eq(fleet.site.http.count(), 1);
  cr_assert_eq(fleet.site.http.at(0).request.headers.get("urgency"), "9");
}

// Guards against refusals by a wrong estimate.
Test(relay_admission, sends_while_half_of_the_slots_are_free) {
  ShortFleet fleet;
  fleet.set_peer_load(3, kUnservableTokens);
  fleet.request();
  cr_assert_eq(fleet.site.http.count(), 1);
}

Test(relay_admission, sends_everything_when_switched_off) {
  ShortFleet fleet(false);
  fleet.set_peer_load(20, kUnservableTokens);
  fleet.request();
  cr_assert_eq(fleet.site.http.count(), 1);
}

// Guards the promise that a stream whose caller has got events is resumed, not refused.
Test(relay_admission, does_not_refuse_to_resume_a_stream) {
  ShortFleet fleet;
  fleet.site.add_engine("d2", "model", EngineStage::kDecode);
  const auto reply = fleet.site.request("/resumable/a", {{"tokens", "400"}});
  fleet.site.http.begin(0, 200, RelayFixture::sealed_headers());
  fleet.site.http.piece(0, "id: 1\ndata: a\n\n");
  cr_assert_eq(reply->head_count, 1);
  for (const char* engine : {"d1", "d2"}) {
    fleet.site.node->engines().on_peer_load(fleet.site.runtime.now(), NodeId(engine),
                                            {{EngineId(engine), {20, kUnservableTokens, 0}}});
  }
  fleet.site.http.fail(0, TransferFailure::kUncertain);
  cr_assert_eq(fleet.site.http.count(), 2);
}

// Guards the answers of callers that lost the connection to a node and resume at another one.
Test(relay_admission, does_not_refuse_a_caller_that_resumes_a_stream) {
  ShortFleet fleet;
  fleet.set_peer_load(20, kUnservableTokens);
  fleet.site.request("/resumable/a", {{"tokens", "400"}, {"last-event", "3"}});
  cr_assert_eq(fleet.site.http.count(), 1);
}

// Services without a model have no expected time to a first token.
Test(relay_admission, leaves_plain_services_alone) {
  ShortFleet fleet;
  fleet.site.add_engine("e1", "plain");
  fleet.site.node->engines().on_peer_load(fleet.site.runtime.now(), NodeId("n2"),
                                          {{EngineId("e1"), {500, 0, 0}}});
  fleet.site.request("/once/a");
  cr_assert_eq(fleet.site.http.count(), 1);
}

// Guards the order of late requests in a shortage: those of a tenant above its share come last.
Test(relay_admission, late_requests_of_a_tenant_above_its_share_come_last) {
  TenantFleet fleet;
  fleet.set_peer_load(20, 30000);
  cr_assert_eq(fleet.urgency_of("large"), "9");
  cr_assert_eq(fleet.urgency_of("small"), "8");
}

// Only a tenant above its share yields to others, and only in a shortage.
Test(relay_admission, a_tenant_above_its_share_yields_in_a_shortage) {
  TenantFleet fleet;
  relay::EngineDirectory& engines = fleet.site.node->engines();
  const auto set_load = [&](std::uint64_t in_time, std::uint64_t late) {
    engines.on_peer_load(fleet.site.runtime.now(), NodeId("n2"),
                         {{EngineId("d1"), {7, in_time + late, late}}});
  };
  set_load(14000, 0);
  cr_assert_eq(fleet.urgency_of("large"), "0", "no shortage");
  set_load(14000, 40000);
  cr_assert_eq(fleet.urgency_of("large"), "9");
  cr_assert_eq(fleet.urgency_of("small"), "0");
}

// Guards tenants below their share against refusals for what others have sent.
Test(relay_admission, refuses_the_tenant_above_its_share) {
  TenantFleet fleet;
  fleet.set_peer_load(20, kUnservableTokens);
  cr_assert_eq(fleet.urgency_of("large"), "");
  cr_assert_eq(fleet.urgency_of("small"), "0");
}

// The service counts once the answer has begun, and is reported to the other nodes.
Test(relay_admission, counts_served_tokens) {
  TenantFleet fleet;
  fleet.site.runtime.advance(3s);
  fleet.site.node->take_served();
  fleet.urgency_of("small");
  cr_assert_eq(fleet.site.http.count(), 1);
  fleet.site.http.begin(0, 200, RelayFixture::sealed_headers("r0"));
  fleet.site.http.piece(0, "id: 1\ndata: a\n\n");
  fleet.site.http.piece(0, "id: 2\ndata: b\n\n");
  fleet.site.http.finish(0);
  fleet.site.runtime.advance(3s);
  const relay::ServedByTenant served = fleet.site.node->take_served();
  cr_assert(served == relay::ServedByTenant({{TenantName("small"), 420}}));
}
