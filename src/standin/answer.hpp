/// @file
/// Answers of the stand-in engines: a function of the request alone, so that a mixed-up, cut or
/// doubled answer shows.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shuntbank {

/// @return the text of token `index` in the answer to `prompt`, with a space behind it.
std::string answer_token(std::string_view prompt, std::uint32_t index);

/// @return the whole answer of `count` tokens.
std::string whole_answer(std::string_view prompt, std::uint32_t count);

/// @return the length of `text` in tokens, at four characters a token and at least one.
std::uint64_t count_tokens(std::string_view text);

}  // namespace shuntbank
