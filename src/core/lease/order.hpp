/// @file
/// Orders to engines: the whole desired state of one engine under a fence and a sequence number.
#pragma once

#include <compare>
#include <string>
#include <vector>

#include "common/identifiers.hpp"
#include "config/objects.hpp"

namespace shuntbank {

/// What an engine should be. An order always carries all of it, so that orders never combine.
struct DesiredState {
  EngineRole role = EngineRole::kMixed;
  std::vector<ModelSpec> models;
  bool accepting = true;  ///< False: refuse new requests, finish those in flight.

  bool operator==(const DesiredState&) const = default;
};

/// Place of an order in the order of all orders to one engine.
struct OrderStamp {
  Fence fence = 0;
  Sequence sequence = 0;

  auto operator<=>(const OrderStamp&) const = default;
};

/// An order. A claim is an order that raises the fence and changes nothing else.
struct EngineOrder {
  OrderStamp stamp;
  DesiredState desired;
};

/// What the engine does with an order or a claim.
enum class OrderVerdict {
  kAccepted,
  kRepeated,  ///< The same order again: already in force, nothing changes.
  kStale,     ///< Older than what the engine holds: refused.
};

/// The engine's side: takes only what is newer than what it holds.
class OrderGate {
 public:
  /// Raises the fence. From then on no order under a lower fence is taken.
  OrderVerdict claim(Fence fence);

  /// Judges an order and, when it is accepted, holds it. A fence must be claimed before its orders.
  OrderVerdict offer(const EngineOrder& order);

  const OrderStamp& stamp() const { return stamp_; }
  const DesiredState& desired() const { return desired_; }

 private:
  OrderStamp stamp_;
  DesiredState desired_;
};

}  // namespace shuntbank
