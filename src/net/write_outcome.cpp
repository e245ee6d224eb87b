#include "net/write_outcome.hpp"

#include <asio/error.hpp>

namespace shuntbank {

WriteOutcome write_outcome(const std::error_code& error) {
  if (!error) return WriteOutcome::kWritten;
  // Linux reports a reset as a broken pipe only after the peer has ended its side.
  return error == asio::error::broken_pipe ? WriteOutcome::kEndedByPeer : WriteOutcome::kBroken;
}

}  // namespace shuntbank
