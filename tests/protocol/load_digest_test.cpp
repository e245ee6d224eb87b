#include "protocol/load_digest.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "protocol/load_message.hpp"

using namespace shuntbank;

namespace {

LoadDigest digest_without_load() {
  LoadDigest digest;
  digest.collector = NodeId("front-somewhere-long-12");
  digest.number = {0xffffffffffffff, 123456};
  digest.zone = ZoneName("zone-with-a-name");
  digest.node_count = 59;
  digest.revisions = {1ULL << 40U, 1ULL << 41U};
  digest.store_age_ms = 1200;
  return digest;
}

relay::PeerLoad arbitrary_load() {
  return {*rc::gen::inRange<std::uint32_t>(0, 300), *rc::gen::inRange<std::uint64_t>(0, 1U << 22U),
          *rc::gen::inRange<std::uint64_t>(0, 1U << 22U)};
}

/// Combined content of the parts of one load sum, which are datagrams with a LoadDigest each.
struct JoinedParts {
  relay::LoadByKey load;
  relay::EngineUpdates updates;
  std::size_t coverage_errors = 0;
  std::size_t max_bytes = 0;
};

JoinedParts join_parts(const std::vector<std::string>& parts) {
  JoinedParts joined;
  for (const std::string& bytes : parts) {
    joined.max_bytes = std::max(joined.max_bytes, bytes.size());
    const auto part = decode_digest(bytes);
    if (!part) continue;
    for (const auto& [key, work] : joined.load) joined.coverage_errors += part->range.covers(key);
    for (const auto& [key, work] : part->range.load) {
      joined.load[key] = work;
      if (!part->range.covers(key)) ++joined.coverage_errors;
    }
    joined.updates.append(part->updates);
  }
  return joined;
}

}  // namespace

Test(load_digest, parts_join_to_the_whole) {
  const bool passed = rc::check("parts join to the whole and fit", [] {
    LoadDigest whole = digest_without_load();
    for (int i = *rc::gen::inRange(0, 640); i > 0; --i) {
      whole.range.load[*rc::gen::arbitrary<relay::EngineKey>()] = arbitrary_load();
    }
    for (int i = *rc::gen::inRange(0, 90); i > 0; --i) {
      whole.updates.reads.push_back({*rc::gen::arbitrary<relay::EngineKey>(),
                                     {{*rc::gen::arbitrary<std::uint64_t>(), 800}, {2, 30}}});
    }
    whole.updates.troubles = {{3, relay::EngineStage::kPrefill, relay::TroubleKind::kMisdirected},
                              {4, relay::EngineStage::kNone, relay::TroubleKind::kDraining}};
    for (int i = *rc::gen::inRange(0, 60); i > 0; --i) {
      whole.updates.crashes.push_back({relay::CrashEvent::kCrashed,
                                       {~0ULL, *rc::gen::arbitrary<std::uint64_t>()},
                                       ~0U,
                                       ~0U,
                                       *rc::gen::arbitrary<std::uint32_t>()});
    }
    const JoinedParts joined = join_parts(encode_parts(whole));
    RC_ASSERT(joined.load == whole.range.load);
    RC_ASSERT(joined.updates == whole.updates);
    RC_ASSERT(joined.coverage_errors == 0U);
    RC_ASSERT(joined.max_bytes + 9 <= kMaxLoadMessage);
  });
  cr_assert(passed);
}

Test(load_digest, covers_all_engines_when_it_is_empty) {
  const auto parts = encode_parts(digest_without_load());
  cr_assert_eq(parts.size(), 1);
  const auto decoded = decode_digest(parts[0]);
  cr_assert(decoded.has_value());
  cr_assert(*decoded == digest_without_load());
  cr_assert(decoded->range.covers(0) && decoded->range.covers(0xffffffff));
}

Test(load_digest, is_distinguished_from_other_messages) {
  const std::string digest = encode_parts(digest_without_load())[0];
  const std::string view = encode_view(77, digest);
  LoadMessage message;
  message.node = NodeId("n");
  cr_assert(is_digest(digest) && !is_view(digest));
  cr_assert(is_view(view) && !is_digest(view));
  cr_assert(!is_digest(encode(message)) && !is_view(encode(message)));
  const auto decoded = decode_view(view);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->last_sequence, 77);
  cr_assert(decoded->digest == digest_without_load());
}

Test(load_digest, rejects_malformed_bytes) {
  cr_assert(!decode_digest("\x9a\x01").has_value());
  cr_assert(!decode_digest("").has_value());
  cr_assert(!decode_view("\xc1\x00\x00").has_value());
  cr_assert(!decode_view(encode_parts(digest_without_load())[0]).has_value());
}
