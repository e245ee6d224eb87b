/// @file
/// A configuration as one node hands it to another: whole, or as what the other lacks of it. Keys
/// go as the hashes that a node keeps of them. MessagePack; unknown fields are ignored.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "core/relay/routes.hpp"
#include "protocol/configuration_summary.hpp"

namespace shuntbank {

/// What a message leaves out, since the node that asked for it has it.
struct ConfigurationDelta {
  /// Only the routes of these groups are told. All others are as in what the node summarized.
  std::vector<std::size_t> changed_groups;
  bool tenants_unchanged = false;  ///< The same holds for tenants.
  ConfigurationSummary result;     ///< Of the configuration that comes out.
};

/// A configuration and the revision at which the store holds it.
struct ConfigurationMessage {
  std::uint64_t revision = 0;
  relay::RouteConfiguration configuration;
  std::optional<ConfigurationDelta> delta = std::nullopt;  ///< Unset: it is whole.
};

/// Largest message, in bytes: as much as peers take at once.
constexpr std::size_t kMaxConfigurationMessage = 4UL << 20U;

/// The call that is answered by a configuration newer than the one that it summarizes.
struct ConfigurationCall {
  ConfigurationSummary known;
  /// A longer answer is not wanted: what is on its way from elsewhere comes before it.
  std::size_t max_bytes = 0;
};

/// @return the part of `message` that a node lacks which holds what `known` summarizes. The message
/// is whole. @param own its summary.
ConfigurationMessage make_delta(const ConfigurationSummary& known, ConfigurationMessage message,
                                const ConfigurationSummary& summary);

/// Completes a message that tells a part. @param held the configuration that was summarized.
/// @return the whole, or why it cannot be had: what is held is not what was summarized.
tl::expected<ConfigurationMessage, std::string> apply_delta(ConfigurationMessage message,
                                                            const relay::RouteConfiguration& base);

std::string encode(const ConfigurationMessage& message);
std::string encode(const ConfigurationCall& call);

/// @return whether the bytes are such a call.
bool is_configuration_call(std::string_view bytes);

/// @return the call, or what is wrong with the bytes.
tl::expected<ConfigurationCall, std::string> decode_configuration_call(std::string_view bytes);

/// @return the configuration, or what is wrong with the bytes.
tl::expected<ConfigurationMessage, std::string> decode_configuration(std::string_view bytes);

}  // namespace shuntbank
