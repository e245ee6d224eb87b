/// @file
/// A configuration as one node hands it to another, which the store turns away. Keys go as the
/// hashes that a node keeps of them. MessagePack; unknown fields are ignored.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/relay/routes.hpp"

namespace shuntbank {

/// A configuration and the revision at which the store holds it.
struct ConfigurationMessage {
  std::uint64_t revision = 0;
  relay::RouteConfiguration configuration;
};

/// The call that is answered by a configuration.
constexpr std::string_view kConfigurationCall = "configuration";

std::string encode(const ConfigurationMessage& message);

/// @return the configuration, or what is wrong with the bytes.
tl::expected<ConfigurationMessage, std::string> decode_configuration(std::string_view bytes);

}  // namespace shuntbank
