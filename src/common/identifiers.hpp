/// @file
/// Identifiers as distinct types, so that kinds cannot be mixed up.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace shuntbank {

/// A string identifier. @tparam Tag makes each kind a distinct type.
template <typename Tag>
class Identifier {
 public:
  Identifier() = default;
  explicit Identifier(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const Identifier&) const = default;

 private:
  std::string value_;
};

using EngineId = Identifier<struct EngineTag>;
using ServiceName = Identifier<struct ServiceTag>;
using TenantName = Identifier<struct TenantTag>;
using NodeId = Identifier<struct NodeTag>;
using RequestId = Identifier<struct RequestTag>;
using AttemptId = Identifier<struct AttemptTag>;
using ZoneName = Identifier<struct ZoneTag>;
using RegionName = Identifier<struct RegionTag>;

/// Revision of the configuration. Increases monotonically; zero means "none yet".
using Revision = std::uint64_t;

/// Epoch of a controller lease, used as the fencing token of every order. Increases monotonically.
using Fence = std::uint64_t;

/// Sequence number of an order within one fence.
using Sequence = std::uint64_t;

}  // namespace shuntbank

template <typename Tag>
struct std::hash<shuntbank::Identifier<Tag>> {
  std::size_t operator()(const shuntbank::Identifier<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
