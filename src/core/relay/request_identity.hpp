/// @file
/// What two tries of one caller's request have in common, whatever id, deadline and node each has.
#pragma once

#include "common/hash.hpp"

namespace shuntbank::relay {

/// Equal for two requests of the same caller with the same method, host, target and body, of any
/// size. Holds the caller, so that nobody can bring another's request into disrepute by sending the
/// same; a cryptographic hash, so that nobody can make up a request that looks like another's.
using RequestIdentity = Digest128;

}  // namespace shuntbank::relay
