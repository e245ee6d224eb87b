#include "relay/malformed_message.hpp"

#include "common/log.hpp"

namespace shuntbank::relay {

void log_malformed_message(const char* what, const std::string& why) {
  log_event(LogArea::kControl, LogLevel::kWarning, "message_malformed",
            {{"what", what}, {"why", why}});
}

}  // namespace shuntbank::relay
