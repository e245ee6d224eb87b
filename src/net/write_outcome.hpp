/// @file
/// What a write tells of a connection that is read at the same time.
#pragma once

#include <system_error>

namespace shuntbank {

/// The kernel reports a reset once. If a pending write takes the error, the next read sees the end
/// of the stream, as if the peer had ended its side in order.
enum class WriteOutcome {
  kPending,
  kWritten,
  kEndedByPeer,  ///< The peer had ended its side in order before the write failed.
  kBroken        ///< The connection was reset or lost.
};

/// @return the outcome of a finished write, the only one that was pending.
WriteOutcome write_outcome(const std::error_code& error);

}  // namespace shuntbank
