#include "core/relay/prompt_size.hpp"

#include <array>
#include <utility>

namespace shuntbank::relay {
namespace {

/// Most prompts are below the first bound; errors of the cost model differ beyond the third.
constexpr std::array<std::pair<std::uint64_t, const char*>, 5> kClasses{
    {{2000, "2000"}, {8000, "8000"}, {15000, "15000"}, {25000, "25000"}, {40000, "40000"}}};

}  // namespace

const char* prompt_size_class(std::uint64_t prompt_tokens) {
  for (const auto& [bound, name] : kClasses) {
    if (prompt_tokens <= bound) return name;
  }
  return "more";
}

}  // namespace shuntbank::relay
