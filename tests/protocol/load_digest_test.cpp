#include "protocol/load_digest.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "protocol/load_message.hpp"

using namespace shuntbank;

namespace {

LoadDigest head() {
  LoadDigest digest;
  digest.collector = NodeId("front-somewhere-long-12");
  digest.number = {0xffffffffffffff, 123456};
  digest.zone = ZoneName("zone-with-a-name");
  digest.nodes = 59;
  digest.seen = {1ULL << 40U, 1ULL << 41U};
  digest.store_age_ms = 1200;
  return digest;
}

relay::PeerLoad any_load() {
  return {*rc::gen::inRange<std::uint32_t>(0, 300), *rc::gen::inRange<std::uint64_t>(0, 1U << 22U),
          *rc::gen::inRange<std::uint64_t>(0, 1U << 22U)};
}

/// What the parts of a digest say together.
struct Joined {
  relay::LoadByKey load;
  relay::EngineUpdates news;
  std::size_t covered_twice = 0;
  std::size_t largest = 0;
};

Joined join(const std::vector<std::string>& parts) {
  Joined joined;
  for (const std::string& bytes : parts) {
    joined.largest = std::max(joined.largest, bytes.size());
    const auto part = decode_digest(bytes);
    if (!part) continue;
    for (const auto& [key, work] : joined.load) joined.covered_twice += part->part.covers(key);
    for (const auto& [key, work] : part->part.load) {
      joined.load[key] = work;
      if (!part->part.covers(key)) ++joined.covered_twice;
    }
    joined.news.append(part->news);
  }
  return joined;
}

}  // namespace

Test(load_digest, says_the_same_in_parts) {
  const bool held = rc::check("parts join to the whole and fit", [] {
    LoadDigest whole = head();
    for (int i = *rc::gen::inRange(0, 640); i > 0; --i) {
      whole.part.load[*rc::gen::arbitrary<relay::EngineKey>()] = any_load();
    }
    for (int i = *rc::gen::inRange(0, 90); i > 0; --i) {
      whole.news.reads.push_back({*rc::gen::arbitrary<relay::EngineKey>(),
                                  {{*rc::gen::arbitrary<std::uint64_t>(), 800}, {2, 30}}});
    }
    whole.news.troubles = {{3, relay::EngineStage::kPrefill, relay::TroubleKind::kMisdirected},
                           {4, relay::EngineStage::kNone, relay::TroubleKind::kDraining}};
    for (int i = *rc::gen::inRange(0, 60); i > 0; --i) {
      whole.news.crashes.push_back({relay::CrashEvent::kCrashed,
                                    {~0ULL, *rc::gen::arbitrary<std::uint64_t>()},
                                    ~0U,
                                    ~0U,
                                    *rc::gen::arbitrary<std::uint32_t>()});
    }
    const Joined joined = join(encode_parts(whole));
    RC_ASSERT(joined.load == whole.part.load);
    RC_ASSERT(joined.news == whole.news);
    RC_ASSERT(joined.covered_twice == 0U);
    RC_ASSERT(joined.largest + 9 <= kMaxLoadMessage);
  });
  cr_assert(held);
}

Test(load_digest, covers_all_engines_when_it_is_empty) {
  const auto parts = encode_parts(head());
  cr_assert_eq(parts.size(), 1);
  const auto read = decode_digest(parts[0]);
  cr_assert(read.has_value());
  cr_assert(*read == head());
  cr_assert(read->part.covers(0) && read->part.covers(0xffffffff));
}

Test(load_digest, is_told_apart_from_other_messages) {
  const std::string digest = encode_parts(head())[0];
  const std::string view = address_view(77, digest);
  LoadMessage message;
  message.node = NodeId("n");
  cr_assert(is_digest(digest) && !is_view(digest));
  cr_assert(is_view(view) && !is_digest(view));
  cr_assert(!is_digest(encode(message)) && !is_view(encode(message)));
  const auto read = decode_view(view);
  cr_assert(read.has_value());
  cr_assert_eq(read->counted, 77);
  cr_assert(read->digest == head());
}

Test(load_digest, refuses_what_it_cannot_read) {
  cr_assert(!decode_digest("\x9a\x01").has_value());
  cr_assert(!decode_digest("").has_value());
  cr_assert(!decode_view("\xc1\x00\x00").has_value());
  cr_assert(!decode_view(encode_parts(head())[0]).has_value());
}
