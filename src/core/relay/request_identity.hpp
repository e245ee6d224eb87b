/// @file
/// Recognizes retries of one request by its caller, whatever their request id, deadline and node.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/hash.hpp"

namespace shuntbank::relay {

/// Equal for requests with the same credential, method, host, target and body. A cryptographic
/// hash, so that a caller cannot forge a request with the identity of another. What else requests
/// have in common has an identity of the same form; see `part_identity`.
using RequestIdentity = Digest128;

/// @return the identity of a prompt part under its model.
RequestIdentity part_identity(std::string_view model, std::uint64_t part);

/// @return whether it is the identity of a prompt part. That of a request passes for one in one of
/// 2^32 cases.
bool is_prompt_part(const RequestIdentity& identity);

/// @return the id of a prompt part in hexadecimal digits, as callers name it.
std::string part_text(const RequestIdentity& part);

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
