#include "core/relay/request_identity.hpp"

#include <sstream>

namespace shuntbank::relay {
namespace {

constexpr std::uint64_t kPartMark = 0x70726d7074000000ULL;  ///< In the upper 32 bits.
constexpr std::uint64_t kMarkMask = 0xffffffff00000000ULL;

}  // namespace

RequestIdentity part_identity(std::string_view model, std::uint64_t part) {
  return {(kPartMark & kMarkMask) | (hash64(model) & ~kMarkMask), part};
}

bool is_prompt_part(const RequestIdentity& identity) {
  return (identity.high & kMarkMask) == (kPartMark & kMarkMask);
}

std::string part_text(const RequestIdentity& part) {
  std::ostringstream text;
  text << std::hex << part.low;
  return text.str();
}

}  // namespace shuntbank::relay
