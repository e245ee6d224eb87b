/// @file
/// The port through which nodes ask each other for permits.
#pragma once

#include <string>
#include <vector>

#include "protocol/permit_message.hpp"

namespace shuntbank::relay {

/// The other nodes.
class PermitPeers {
 public:
  PermitPeers() = default;
  virtual ~PermitPeers() = default;
  PermitPeers(const PermitPeers&) = delete;
  PermitPeers& operator=(const PermitPeers&) = delete;

  /// Sends a message; it may be lost, doubled or late.
  virtual void send(const NodeId& node, const std::string& bytes) = 0;

  /// @return the share of the listed nodes that is heard of now, this one included.
  virtual double live_fraction() const = 0;
};

}  // namespace shuntbank::relay
