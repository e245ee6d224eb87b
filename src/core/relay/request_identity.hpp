/// @file
/// Recognizes retries of one request by its caller, whatever their request id, deadline and node.
#pragma once

#include <cstdint>

#include "common/hash.hpp"

namespace shuntbank::relay {

/// Equal for requests with the same credential, method, host, target and body. A cryptographic
/// hash, so that a caller cannot forge a request with the identity of another.
using RequestIdentity = Digest128;

/// Hash of the address that a request comes from. Not part of the identity, as retries may come
/// from other addresses. Crashes under requests of one address alone count against that address
/// only; see `CrashLedger`.
using CallerAddressHash = std::uint32_t;

/// A request and the address that this try of it came from.
struct CallerRequest {
  RequestIdentity request;
  CallerAddressHash caller = 0;

  bool operator==(const CallerRequest&) const = default;
};

}  // namespace shuntbank::relay
