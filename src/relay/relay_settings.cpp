#include "relay/relay_settings.hpp"

#include <fmt/format.h>

namespace shuntbank::relay {

std::string retry_after_text(Duration wait) {
  return fmt::format("{:.2f}", to_seconds(wait));
}

}  // namespace shuntbank::relay
