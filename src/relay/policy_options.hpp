/// @file
/// Command-line options for the policies of a relay node. They are meant for experiments;
/// deployments should use the defaults.
#pragma once

#include <boost/program_options/options_description.hpp>
#include <iosfwd>
#include <tl/expected.hpp>

#include "common/findings.hpp"
#include "relay/relay_settings.hpp"

namespace shuntbank::relay {

/// Parsed command line.
struct PolicyCommandLine {
  RelaySettings settings;
  bool help = false;  ///< Only print the options.
};

/// @return the options, which default to the values in `settings` and overwrite them.
boost::program_options::options_description policy_options(RelaySettings& settings);

/// @return the settings changed by the options, or the errors of the command line.
tl::expected<PolicyCommandLine, Findings> parse_policy_options(int argc, const char* const* argv,
                                                               const RelaySettings& settings);

}  // namespace shuntbank::relay
