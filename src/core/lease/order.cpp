#include "core/lease/order.hpp"

namespace shuntbank {

OrderVerdict OrderGate::claim(Fence fence) {
  if (fence < stamp_.fence) return OrderVerdict::kStale;
  if (fence == stamp_.fence) return OrderVerdict::kRepeated;
  stamp_ = {fence, 0};
  return OrderVerdict::kAccepted;
}

OrderVerdict OrderGate::offer(const EngineOrder& order) {
  // An order whose fence was not claimed is refused: its sender has not read the state that it
  // changes.
  if (order.stamp.fence != stamp_.fence || order.stamp < stamp_) return OrderVerdict::kStale;
  if (order.stamp == stamp_) {
    return order.desired == desired_ ? OrderVerdict::kRepeated : OrderVerdict::kStale;
  }
  stamp_ = order.stamp;
  desired_ = order.desired;
  return OrderVerdict::kAccepted;
}

}  // namespace shuntbank
