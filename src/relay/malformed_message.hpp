/// @file
/// The log line of a message between nodes that cannot be read.
#pragma once

#include <string>

namespace shuntbank::relay {

/// @param what kind of message it is. @param why it cannot be read.
void log_malformed_message(const char* what, const std::string& why);

}  // namespace shuntbank::relay
