#include "relay/request_identity.hpp"

#include <criterion/criterion.h>

using namespace shuntbank;

namespace {

HttpRequest request_of(const std::string& caller, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/a/b?c";
  request.headers = {{"Host", "site"}, {"id", "r1"}};
  request.body = body;
  request.caller = caller;
  return request;
}

relay::CallerRequest identity_of(const HttpRequest& request, std::string_view tenant = "") {
  return relay::identity_of(request, tenant);
}

}  // namespace

Test(request_identity, is_independent_of_request_id_and_deadline) {
  HttpRequest again = request_of("10.0.0.1", "body");
  again.headers = {{"Host", "site"}, {"id", "r2"}, {"deadline", "200"}};
  cr_assert(identity_of(again) == identity_of(request_of("10.0.0.1", "body")));
}

Test(request_identity, distinguishes_callers_of_the_same_request) {
  const HttpRequest original = request_of("10.0.0.1", "body");
  const HttpRequest other = request_of("10.0.0.2", "body");
  cr_assert(identity_of(original).request == identity_of(other).request);
  cr_assert_neq(identity_of(original).caller, identity_of(other).caller);
}

Test(request_identity, differs_by_credential_method_target_and_body) {
  const auto original = identity_of(request_of("10.0.0.1", "body"));
  cr_assert(identity_of(request_of("10.0.0.1", "bodY")) != original);
  HttpRequest other = request_of("10.0.0.1", "body");
  other.method = "PUT";
  cr_assert(identity_of(other) != original);
  other = request_of("10.0.0.1", "body");
  other.target = "/a/b?d";
  cr_assert(identity_of(other) != original);
  other = request_of("10.0.0.1", "body");
  other.headers.add("Authorization", "Bearer k");
  cr_assert(identity_of(other) != original);
  cr_assert(identity_of(request_of("10.0.0.1", "body"), "guild") != original);
}

Test(request_identity, covers_the_whole_of_a_large_body) {
  std::string body(4UL << 20U, 'x');
  const auto original = identity_of(request_of("10.0.0.1", body));
  body.back() = 'y';
  cr_assert(identity_of(request_of("10.0.0.1", body)) != original);
}
