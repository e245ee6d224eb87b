#include "engine/event_stream.hpp"

#include "engine/engine_api.hpp"
#include "engine/prompt.hpp"
#include "support/property.hpp"

using namespace shuntbank;

Test(event_stream, yields_the_same_events_for_any_fragmentation) {
  std::string body;
  for (int i = 0; i < 20; ++i) {
    body += "id: r.1:" + std::to_string(i) + "\ndata: {\"t\":" + std::to_string(i) + "}\n\n";
  }
  SHUNTBANK_PROPERTY("any fragmentation", [&body] {
    EventStreamSplitter splitter;
    std::vector<std::string> events;
    std::string_view rest = body;
    while (!rest.empty()) {
      const auto size =
          *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(rest.size(), 70) + 1);
      splitter.feed(rest.substr(0, size), [&events](const ServerSentEvent& event) {
        events.push_back(std::string(event.id) + "|" + std::string(event.data));
      });
      rest.remove_prefix(size);
    }
    RC_ASSERT(events.size() == 20U);
    RC_ASSERT(events[7] == "r.1:7|{\"t\":7}");
  });
}

Test(event_stream, rejects_an_event_over_the_size_limit) {
  EventStreamSplitter splitter;
  const std::string oversized(EventStreamSplitter::kMaxEventSize + 1, 'x');
  cr_assert(!splitter.feed(oversized, [](const ServerSentEvent&) {}));
}

Test(event_stream, parses_chunk_ids) {
  const auto chunk = parse_chunk_id("req.2:41");
  cr_assert(chunk && chunk->attempt.value() == "req.2" && chunk->index == 41);
  for (const char* invalid : {"", "req.2", "req.2:", "req.2:x", "req.2:4 "}) {
    cr_assert(!parse_chunk_id(invalid), "accepted '%s'", invalid);
  }
}

Test(engine_api, state_round_trips_and_incomplete_order_is_rejected) {
  EngineState state;
  state.stamp = {3, 9};
  state.desired = {EngineRole::kDecode, {{"m", "1", {"a", "b"}}}, false};
  state.role = EngineRole::kPrefill;
  state.change_in_progress = true;
  state.active = 5;
  const auto parsed = engine_api::state_from_json(engine_api::to_json(state));
  cr_assert(parsed.has_value());
  cr_assert(parsed->stamp == state.stamp && parsed->desired == state.desired &&
            parsed->active == 5);
  cr_assert(!engine_api::order_from_json({{"fence", 1}}).has_value());
}

Test(prompt, reports_all_wrong_types) {
  Findings findings;
  parse_prompt(CompletionKind::kChat,
               {{"model", 5}, {"messages", "x"}, {"stream", "yes"}, {"max_tokens", -1}, {"n", 2}},
               findings);
  cr_assert_eq(findings.items().size(), 5, "%s", findings.to_text().c_str());
}

Test(prompt, parses_text_content_parts) {
  Findings findings;
  const auto parsed = parse_prompt(
      CompletionKind::kChat,
      {{"model", "m"},
       {"messages", {{{"role", "user"}, {"content", {{{"type", "text"}, {"text", "hello"}}}}}}}},
      findings);
  cr_assert(findings.empty(), "%s", findings.to_text().c_str());
  cr_assert_eq(parsed.text, "user:hello\n");
}
