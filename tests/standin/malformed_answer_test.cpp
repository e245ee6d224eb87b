// Guards against answers of the platform's store or of an engine that end the node that reads them:
// nested deeply, with fields of another type, or with numbers out of range.
#include <string>
#include <utility>
#include <vector>

#include "engine/engine_client.hpp"
#include "platform/object_client.hpp"
#include "support/property.hpp"

using namespace shuntbank;

namespace {

/// Records the transfers; the test gives the answers.
class ScriptedClient : public HttpClient {
 public:
  TransferId start(OutgoingRequest, TransferHandlers handlers) override {
    this->transfers.push_back(std::move(handlers));
    return this->transfers.size();
  }
  void cancel(TransferId) override {}
  void resume(TransferId) override {}

  void answer(const std::string& body) {
    const TransferHandlers handlers = std::move(this->transfers.back());
    this->transfers.pop_back();
    handlers.on_headers(200, {});
    if (!body.empty()) handlers.on_data(body);
    handlers.on_done({});
  }

 private:
  std::vector<TransferHandlers> transfers;
};

std::string nested(std::size_t levels) {
  std::string text;
  for (std::size_t i = 0; i < levels; ++i) text += R"({"a":)";
  return text + "0" + std::string(levels, '}');
}

struct Calls {
  /// @return whether the answer to a read is accepted.
  bool read(const std::string& body) {
    bool accepted = false;
    this->objects.read("key", [&](const auto& result) { accepted = result.has_value(); });
    this->http.answer(body);
    return accepted;
  }

  bool write(const std::string& body) {
    bool accepted = false;
    this->objects.write("key", 1, {}, [&](const auto& result) { accepted = result.has_value(); });
    this->http.answer(body);
    return accepted;
  }

  /// @return the names of the listed machines; empty if the answer is malformed.
  std::vector<std::string> machines(const std::string& body) {
    std::vector<std::string> names;
    this->objects.list_machines([&](const auto& result) {
      if (!result) return;
      for (const Machine& machine : *result) names.push_back(machine.name);
    });
    this->http.answer(body);
    return names;
  }

  bool state(const std::string& body) {
    bool accepted = false;
    this->engine.read_state("10.0.0.1:1",
                            [&](const auto& result) { accepted = result.has_value(); });
    this->http.answer(body);
    return accepted;
  }

  ScriptedClient http;
  ObjectClient objects{http, "10.0.0.1:1"};
  EngineClient engine{http};
};

}  // namespace

Test(malformed_answer, is_an_error_of_that_call_if_nested_deeply) {
  Calls calls;
  for (const std::size_t levels : {1'000, 100'000}) {
    const std::string deep = nested(levels);
    cr_expect_not(calls.read(R"({"version":3,"value":)" + deep + "}"));
    cr_expect_not(calls.write(R"({"version":3,"more":)" + deep + "}"));
    cr_expect(calls.machines(R"({"machines":[{"name":)" + deep + "}]}").empty());
    cr_expect(calls.machines(R"({"machines":)" + deep + "}").empty());
    cr_expect_not(calls.state(R"({"desired":)" + deep + "}"));
  }
}

Test(malformed_answer, is_an_error_of_that_call_if_a_field_has_another_type) {
  Calls calls;
  cr_expect(calls.read(R"({"version":3,"value":{}})"));
  for (const char* version : {"-1", "2.5", "1e400", "\"3\"", "null"}) {
    const std::string body = std::string(R"({"value":{},"version":)") + version + "}";
    cr_expect_not(calls.read(body), "%s", version);
    cr_expect_not(calls.write(body), "%s", version);
  }
  for (const char* machines : {"5", "\"m\"", "null", "true"}) {
    cr_expect(calls.machines(std::string(R"({"machines":)") + machines + "}").empty());
  }
}

// Such a machine is left out, and the others are listed.
Test(malformed_answer, leaves_the_other_machines) {
  Calls calls;
  for (const char* odd : {"5", R"({"name":5})", R"({"name":"b","address":[]})",
                          R"({"name":"b","kind":null})", R"({"name":"b","state":true})"}) {
    const auto names =
        calls.machines(std::string(R"({"machines":[{"name":"a"},)") + odd + R"(,{"name":"z"}]})");
    cr_expect_eq(names.size(), 2, "%s", odd);
  }
}
