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

Test(request_identity, is_the_same_for_each_try_whatever_its_id_and_deadline) {
  HttpRequest again = request_of("10.0.0.1", "body");
  again.headers = {{"Host", "site"}, {"id", "r2"}, {"deadline", "200"}};
  cr_assert(identity_of(again) == identity_of(request_of("10.0.0.1", "body")));
}

Test(request_identity, tells_callers_of_the_same_apart) {
  const HttpRequest own = request_of("10.0.0.1", "body");
  const HttpRequest other = request_of("10.0.0.2", "body");
  cr_assert(identity_of(own).request == identity_of(other).request);
  cr_assert_neq(identity_of(own).caller, identity_of(other).caller);
}

Test(request_identity, differs_by_credential_method_target_and_body) {
  const auto own = identity_of(request_of("10.0.0.1", "body"));
  cr_assert(identity_of(request_of("10.0.0.1", "bodY")) != own);
  HttpRequest other = request_of("10.0.0.1", "body");
  other.method = "PUT";
  cr_assert(identity_of(other) != own);
  other = request_of("10.0.0.1", "body");
  other.target = "/a/b?d";
  cr_assert(identity_of(other) != own);
  other = request_of("10.0.0.1", "body");
  other.headers.add("Authorization", "Bearer k");
  cr_assert(identity_of(other) != own);
  cr_assert(identity_of(request_of("10.0.0.1", "body"), "guild") != own);
}

Test(request_identity, sees_the_end_of_a_large_body) {
  std::string body(4UL << 20U, 'x');
  const auto own = identity_of(request_of("10.0.0.1", body));
  body.back() = 'y';
  cr_assert(identity_of(request_of("10.0.0.1", body)) != own);
}
