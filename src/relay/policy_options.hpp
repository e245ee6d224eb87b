/// @file
/// Command-line options that change or switch off what a relay node decides by. They are for
/// experiments and ablations: the defaults are what a deployment should run with.
#pragma once

#include <boost/program_options/options_description.hpp>
#include <iosfwd>
#include <tl/expected.hpp>

#include "common/findings.hpp"
#include "relay/relay_settings.hpp"

namespace shuntbank::relay {

/// What a command line asks for.
struct PolicyCommandLine {
  RelaySettings settings;
  bool help = false;  ///< Only the options are to be shown.
};

/// @return the options, with the values of `settings` as defaults, which they overwrite.
boost::program_options::options_description policy_options(RelaySettings& settings);

/// Takes options over into settings. @return the settings, or what is wrong with the command line.
tl::expected<PolicyCommandLine, Findings> parse_policy_options(int argc, const char* const* argv,
                                                               const RelaySettings& settings);

}  // namespace shuntbank::relay
