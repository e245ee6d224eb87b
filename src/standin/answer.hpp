/// @file
/// Answers of the stand-in engines. They depend on the request alone, so that a checker detects
/// swapped, truncated and duplicated answers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shuntbank {

/// @return the text of token `index` in the answer to `prompt`, followed by a space.
std::string answer_token(std::string_view prompt, std::uint32_t index);

/// @return the complete answer of `count` tokens.
std::string whole_answer(std::string_view prompt, std::uint32_t count);

/// @return the length of `text` in tokens, counting four characters per token, at least 1.
std::uint64_t count_tokens(std::string_view text);

}  // namespace shuntbank
