/// @file
/// Classes of prompt sizes, for metrics.
#pragma once

#include <cstdint>

namespace shuntbank::relay {

/// @return the class of a prompt: its largest size in tokens, or `more`.
const char* prompt_size_class(std::uint64_t prompt_tokens);

}  // namespace shuntbank::relay
