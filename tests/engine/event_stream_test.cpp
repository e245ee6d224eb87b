#include "engine/event_stream.hpp"

#include "engine/engine_api.hpp"
#include "engine/prompt.hpp"
#include "support/property.hpp"

using namespace shuntbank;

Test(event_stream, gives_the_same_events_however_the_body_is_cut) {
  std::string body;
  for (int i = 0; i < 20; ++i) {
    body += "id: r.1:" + std::to_string(i) + "\ndata: {\"t\":" + std::to_string(i) + "}\n\n";
  }
  SHUNTBANK_PROPERTY("any pieces", [&body] {
    EventStreamSplitter splitter;
    std::vector<std::string> seen;
    std::string_view rest = body;
    while (!rest.empty()) {
      const auto size =
          *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(rest.size(), 70) + 1);
      splitter.feed(rest.substr(0, size), [&seen](const ServerSentEvent& event) {
        seen.push_back(std::string(event.id) + "|" + std::string(event.data));
      });
      rest.remove_prefix(size);
    }
    RC_ASSERT(seen.size() == 20U);
    RC_ASSERT(seen[7] == "r.1:7|{\"t\":7}");
  });
}

Test(event_stream, refuses_an_event_without_end) {
  EventStreamSplitter splitter;
  const std::string piece(EventStreamSplitter::kMaxEventSize + 1, 'x');
  cr_assert(!splitter.feed(piece, [](const ServerSentEvent&) {}));
}

Test(event_stream, reads_the_place_of_a_chunk) {
  const auto place = parse_chunk_place("req.2:41");
  cr_assert(place && place->attempt.value() == "req.2" && place->index == 41);
  for (const char* bad : {"", "req.2", "req.2:", "req.2:x", "req.2:4 "}) {
    cr_assert(!parse_chunk_place(bad), "accepted '%s'", bad);
  }
}

Test(engine_api, state_and_orders_survive_the_wire) {
  EngineState state;
  state.stamp = {3, 9};
  state.desired = {EngineRole::kDecode, {{"m", "1", {"a", "b"}}}, false};
  state.role = EngineRole::kPrefill;
  state.change_in_progress = true;
  state.active = 5;
  const auto back = engine_api::state_from_json(engine_api::to_json(state));
  cr_assert(back.has_value());
  cr_assert(back->stamp == state.stamp && back->desired == state.desired && back->active == 5);
  cr_assert(!engine_api::order_from_json({{"fence", 1}}).has_value());
}

Test(prompt, reports_all_wrong_types) {
  Findings findings;
  read_prompt(CompletionKind::kChat,
              {{"model", 5}, {"messages", "x"}, {"stream", "yes"}, {"max_tokens", -1}, {"n", 2}},
              findings);
  cr_assert_eq(findings.items().size(), 5, "%s", findings.to_text().c_str());
}

Test(prompt, reads_parts_of_text) {
  Findings findings;
  const auto facts = read_prompt(
      CompletionKind::kChat,
      {{"model", "m"},
       {"messages", {{{"role", "user"}, {"content", {{{"type", "text"}, {"text", "hello"}}}}}}}},
      findings);
  cr_assert(findings.empty(), "%s", findings.to_text().c_str());
  cr_assert_eq(facts.text, "user:hello\n");
}
