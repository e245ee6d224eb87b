/// @file
/// Orders to engines: the complete desired state of one engine, with a fence and a sequence number.
#pragma once

#include <compare>
#include <string>
#include <vector>

#include "common/identifiers.hpp"
#include "config/objects.hpp"

namespace shuntbank {

/// Desired state of an engine. Each order carries all of it, so that orders are never merged.
struct DesiredState {
  EngineRole role = EngineRole::kMixed;
  std::vector<ModelSpec> models;
  bool accepting = true;  ///< False: refuse new requests, finish those in flight.

  bool operator==(const DesiredState&) const = default;
};

/// Position of an order among all orders to one engine: by fence, then by sequence number. The
/// greater stamp is the later order.
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

/// Outcome of an order or a claim at the engine.
enum class OrderVerdict {
  kAccepted,
  kRepeated,  ///< A duplicate of the current order: nothing changes.
  kStale,     ///< Refused: older than the current order, or its fence was not claimed.
};

/// Engine-side check that accepts only orders newer than the current one.
class OrderGate {
 public:
  /// Raises the fence. Orders with a lower fence are refused from then on.
  OrderVerdict claim(Fence fence);

  /// Checks an order and stores it when accepted. Its fence must have been claimed before.
  OrderVerdict offer(const EngineOrder& order);

  const OrderStamp& stamp() const { return stamp_; }
  const DesiredState& desired() const { return desired_; }

 private:
  OrderStamp stamp_;
  DesiredState desired_;
};

}  // namespace shuntbank
