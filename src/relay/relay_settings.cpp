#include "relay/relay_settings.hpp"

#include <fmt/format.h>

namespace shuntbank::relay {

std::string retry_after_text(const RelaySettings& settings) {
  return fmt::format("{:.2f}", to_seconds(settings.retry_after));
}

}  // namespace shuntbank::relay
