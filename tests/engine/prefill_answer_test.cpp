// Guards against a node that ends as an engine's answer to a prefill is malformed.
#include "engine/engine_api.hpp"
#include "support/property.hpp"

using namespace shuntbank::engine_api;

Test(prefill_answer, is_malformed_without_a_handle) {
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& body :
       {std::string(), std::string("[]"), std::string("5"), std::string("{}"),
        std::string(R"({"kv_handle":5})"), std::string(R"({"kv_handle":null})"),
        std::string(R"({"kv_handle":["h"]})"), std::string(R"({"kv_handle":"h","tokens":1e400})"),
        R"({"kv_handle":)" + deep + "}", R"({"kv_handle":"h","more":)" + deep + "}"}) {
    cr_expect_not(handle_from_prefill_answer(body).has_value(), "%s", body.substr(0, 40).c_str());
  }
  cr_assert_eq(*handle_from_prefill_answer(R"({"kv_handle":"h1","tokens":5})"), "h1");
}
