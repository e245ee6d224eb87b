/// @file
/// Configurations exchanged between nodes, complete or as a delta to the receiver's. Tenant keys
/// are sent as hashes. MessagePack; unknown fields are ignored.
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

/// Describes what a message leaves out because the receiver has it.
struct ConfigurationDelta {
  /// Route groups that the message contains; all others are unchanged.
  std::vector<std::size_t> changed_groups;
  bool tenants_unchanged = false;  ///< The message contains no tenants.
  ConfigurationSummary result;     ///< Summary of the complete configuration.
};

/// A configuration and its revision in the store.
struct ConfigurationMessage {
  std::uint64_t revision = 0;
  relay::RouteConfiguration configuration;
  std::optional<ConfigurationDelta> delta = std::nullopt;  ///< Unset: complete.
};

/// Largest message that peers accept, in bytes.
constexpr std::size_t kMaxConfigurationMessage = 4UL << 20U;

/// Requests a configuration newer than the one that it summarizes.
struct ConfigurationCall {
  ConfigurationSummary known;
  /// Largest useful answer; an update from elsewhere would arrive before a longer one.
  std::size_t max_bytes = 0;
};

/// @return `message`, which is complete, without what `known` shows the receiver to have.
/// @param summary that of `message`.
ConfigurationMessage make_delta(const ConfigurationSummary& known, ConfigurationMessage message,
                                const ConfigurationSummary& summary);

/// Completes a delta. @param base the configuration that the receiver's call summarized.
/// @return the complete message, or an error if `base` is not what the delta was made for.
tl::expected<ConfigurationMessage, std::string> apply_delta(ConfigurationMessage message,
                                                            const relay::RouteConfiguration& base);

std::string encode(const ConfigurationMessage& message);
std::string encode(const ConfigurationCall& call);

/// @return whether the bytes are a ConfigurationCall.
bool is_configuration_call(std::string_view bytes);

/// @return the call, or what is wrong with the bytes.
tl::expected<ConfigurationCall, std::string> decode_configuration_call(std::string_view bytes);

/// @return the configuration, or what is wrong with the bytes.
tl::expected<ConfigurationMessage, std::string> decode_configuration(std::string_view bytes);

}  // namespace shuntbank
