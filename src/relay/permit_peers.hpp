/// @file
/// Interface for sending permit messages to other nodes.
#pragma once

#include <string>
#include <vector>

#include "protocol/permit_message.hpp"

namespace shuntbank::relay {

/// Connection to the other nodes.
class PermitPeers {
 public:
  PermitPeers() = default;
  virtual ~PermitPeers() = default;
  PermitPeers(const PermitPeers&) = delete;
  PermitPeers& operator=(const PermitPeers&) = delete;

  /// Sends a message, which may be lost, duplicated or delayed.
  virtual void send(const NodeId& node, const std::string& bytes) = 0;

  /// @return the fraction of the listed nodes that are live, this one included.
  virtual double live_fraction() const = 0;
};

}  // namespace shuntbank::relay
