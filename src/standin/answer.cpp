#include "standin/answer.hpp"

#include <algorithm>

#include "common/hash.hpp"

namespace shuntbank {
namespace {

constexpr std::uint64_t kCharactersPerToken = 4;
constexpr std::string_view kDigits = "0123456789abcdef";
constexpr int kTokenDigits = 4;

}  // namespace

std::string answer_token(std::string_view prompt, std::uint32_t index) {
  std::uint64_t hash = hash64(prompt, index);
  std::string token;
  for (int i = 0; i < kTokenDigits; ++i) {
    token += kDigits[hash & 0x0fU];
    hash >>= 4U;
  }
  return token + " ";
}

std::string whole_answer(std::string_view prompt, std::uint32_t count) {
  std::string answer;
  for (std::uint32_t i = 0; i < count; ++i) answer += answer_token(prompt, i);
  return answer;
}

std::uint64_t count_tokens(std::string_view text) {
  return std::max<std::uint64_t>(1, text.size() / kCharactersPerToken);
}

}  // namespace shuntbank
