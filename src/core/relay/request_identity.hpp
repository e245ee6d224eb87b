/// @file
/// What two tries of one request have in common, whatever id, deadline and node each has.
#pragma once

#include <cstdint>

#include "common/hash.hpp"

namespace shuntbank::relay {

/// Equal for two requests with the same credential, method, host, target and body, of any size. A
/// cryptographic hash, so that nobody can make up a request that looks like another's.
using RequestIdentity = Digest128;

/// A short name for the address that a request comes from. It is no part of the identity: one
/// caller has many addresses (in an incident each coming had another one). What engines end under
/// from one address alone speaks against that address only; see `CrashLedger`.
using CallerAddressHash = std::uint32_t;

/// A request, and whence the try came that is spoken of.
struct CallerRequest {
  RequestIdentity request;
  CallerAddressHash caller = 0;

  bool operator==(const CallerRequest&) const = default;
};

}  // namespace shuntbank::relay
