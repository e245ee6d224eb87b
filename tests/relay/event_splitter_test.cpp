#include "relay/event_splitter.hpp"

#include "support/property.hpp"

using namespace shuntbank::relay;

Test(event_splitter, yields_the_same_events_for_any_chunking) {
  SHUNTBANK_PROPERTY("whole events, in order, byte for byte", [] {
    const auto lengths = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    std::string stream;
    for (std::size_t i = 0; i < lengths.size(); ++i) {
      const std::string end = i % 2 == 0 ? "\n\n" : "\r\n\r\n";
      stream += "id: " + std::to_string(i + 1) + "\ndata: " + std::string(lengths[i], 'x') + end;
    }
    EventSplitter splitter;
    std::string out;
    std::uint64_t last = 0;
    std::size_t begin = 0;
    while (begin < stream.size()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 30);
      const std::string piece = stream.substr(begin, size);
      begin += piece.size();
      RC_ASSERT(splitter.feed(piece, [&](const RawEvent& event) {
        out += event.bytes;
        RC_ASSERT(event.id == last + 1);
        last = *event.id;
      }));
    }
    RC_ASSERT(out == stream);
    RC_ASSERT(last == lengths.size());
    RC_ASSERT(!splitter.has_partial());
  });
}

Test(event_splitter, rejects_an_oversized_event) {
  EventSplitter splitter;
  const std::string piece(EventSplitter::kMaxEventSize, 'x');
  cr_assert(splitter.feed(piece, [](const RawEvent&) {}));
  cr_assert_not(splitter.feed("more", [](const RawEvent&) {}));
}
