#include "relay/quarantine_api.hpp"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include "relay/support/fakes.hpp"

using namespace shuntbank;
using namespace shuntbank::testing;
using namespace std::chrono_literals;

namespace {

constexpr relay::RequestIdentity kRequest{1, 2};

HttpReply ask(relay::Quarantine& quarantine, const std::string& method, const std::string& path) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  return relay::answer_quarantine(request, quarantine);
}

/// A node that holds one request back.
struct Scene {
  Scene() { this->quarantine().restore({{kRequest, {11, 12, 13}, {5}, 60s}}); }
  relay::Quarantine& quarantine() { return this->site.node->quarantine(); }
  RelayFixture site;
};

}  // namespace

Test(quarantine_api, shows_what_is_held_back_and_why) {
  Scene scene;
  const HttpReply reply = ask(scene.quarantine(), "GET", "/quarantine");
  cr_assert_eq(reply.status, 200);
  const auto held = nlohmann::json::parse(reply.body).at("held");
  cr_assert_eq(held.size(), 1U);
  cr_assert_eq(held[0].at("identity").get<std::string>(), to_text(kRequest));
  cr_assert_eq(held[0].at("engines_ended").get<int>(), 3);
  cr_assert_not(held[0].at("from_all_callers").get<bool>());
}

Test(quarantine_api, lets_one_go) {
  Scene scene;
  const std::string path = "/quarantine/" + to_text(kRequest);
  cr_assert_eq(ask(scene.quarantine(), "DELETE", path).status, 200);
  cr_assert(scene.quarantine().held().empty());
  cr_assert_eq(ask(scene.quarantine(), "DELETE", path).status, 404, "it is gone");
}

Test(quarantine_api, refuses_what_it_does_not_know) {
  Scene scene;
  cr_assert_eq(ask(scene.quarantine(), "DELETE", "/quarantine/xyz").status, 400);
  cr_assert_eq(ask(scene.quarantine(), "DELETE", "/quarantine").status, 400);
  cr_assert_eq(ask(scene.quarantine(), "POST", "/quarantine").status, 400);
  cr_assert(relay::is_quarantine_path("/quarantine/1"));
  cr_assert_not(relay::is_quarantine_path("/quarantines"));
}
