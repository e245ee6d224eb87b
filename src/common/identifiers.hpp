/// @file
/// Identifiers as distinct types, so that one kind cannot be passed where another is meant.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace shuntbank {

/// A string identifier. @tparam Tag tells kinds apart and has no other use.
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

/// Revision of the configuration. Only grows; zero means "none yet".
using Revision = std::uint64_t;

/// Epoch of a controller lease, used as the fence of every order. Only grows.
using Fence = std::uint64_t;

/// Number of an order under one fence.
using Sequence = std::uint64_t;

}  // namespace shuntbank

template <typename Tag>
struct std::hash<shuntbank::Identifier<Tag>> {
  std::size_t operator()(const shuntbank::Identifier<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
