#include "relay/quarantine_api.hpp"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr relay::RequestIdentity kRequest{1, 2};

HttpReply call(relay::Quarantine& quarantine, const std::string& method, const std::string& path) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  return relay::answer_quarantine(request, quarantine);
}

/// A node with one quarantined request.
struct ApiFixture {
  ApiFixture() { this->quarantine().restore({{kRequest, {11, 12, 13}, {5}, 60s}}); }
  relay::Quarantine& quarantine() { return this->site.node->quarantine(); }
  RelayFixture site;
};

}  // namespace

Test(quarantine_api, lists_quarantined_requests) {
  ApiFixture fixture;
  const HttpReply reply = call(fixture.quarantine(), "GET", "/quarantine");
  cr_assert_eq(reply.status, 200);
  const auto held = nlohmann::json::parse(reply.body).at("held");
  cr_assert_eq(held.size(), 1U);
  cr_assert_eq(held[0].at("identity").get<std::string>(), to_text(kRequest));
  cr_assert_eq(held[0].at("engines_ended").get<int>(), 3);
  cr_assert_not(held[0].at("from_all_callers").get<bool>());
}

Test(quarantine_api, releases_a_request) {
  ApiFixture fixture;
  const std::string path = "/quarantine/" + to_text(kRequest);
  cr_assert_eq(call(fixture.quarantine(), "DELETE", path).status, 200);
  cr_assert(fixture.quarantine().quarantined().empty());
  cr_assert_eq(call(fixture.quarantine(), "DELETE", path).status, 404, "already released");
}

Test(quarantine_api, rejects_invalid_requests) {
  ApiFixture fixture;
  cr_assert_eq(call(fixture.quarantine(), "DELETE", "/quarantine/xyz").status, 400);
  cr_assert_eq(call(fixture.quarantine(), "DELETE", "/quarantine").status, 400);
  cr_assert_eq(call(fixture.quarantine(), "POST", "/quarantine").status, 400);
  cr_assert(relay::is_quarantine_path("/quarantine/1"));
  cr_assert_not(relay::is_quarantine_path("/quarantines"));
}
