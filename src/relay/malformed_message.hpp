/// @file
/// Logging of malformed messages between nodes.
#pragma once

#include <string>

namespace shuntbank::relay {

/// @param what kind of message. @param why parse error.
void log_malformed_message(const char* what, const std::string& why);

}  // namespace shuntbank::relay
