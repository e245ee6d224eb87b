/// @file
/// Messages between nodes and the owner of a tenant's quota. Datagrams in MessagePack, identified
/// by their first byte; versions that do not know them drop them and are treated as silent nodes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/identifiers.hpp"

namespace shuntbank {

/// A tenant's quota under one version of the configuration. The owner of the quota may have read
/// an older version than the caller.
struct QuotaTerms {
  std::uint64_t configuration = 0;  ///< Version.
  double per_second = 0;            ///< In requests or tokens, as the tenant's quota counts.
  double burst = 0;

  bool operator==(const QuotaTerms&) const = default;
};

/// Asks for admission of one request, and reports what was used beside earlier answers.
struct QuotaCall {
  NodeId node;
  std::uint64_t boot = 0;    ///< Of the calling process.
  std::uint64_t number = 0;  ///< Repeated in the answer; 0: no request.
  TenantName tenant;
  QuotaTerms terms;
  double cost = 0;  ///< Of the request; 0: none.
  /// Cost of requests that were sent without a grant, less that of grants not used.
  double unsettled = 0;

  bool operator==(const QuotaCall&) const = default;
};

/// Outcome of a call.
enum class QuotaVerdict {
  kGranted,
  kExceeded,
  kNotOwner,  ///< Another node owns the quota, as far as this one knows.
};

/// The answer to a call.
struct QuotaAnswer {
  NodeId node;
  std::uint64_t boot = 0;    ///< Copied from the call.
  std::uint64_t number = 0;  ///< Copied from the call.
  TenantName tenant;         ///< Copied from the call.
  double cost = 0;           ///< Copied from the call.
  QuotaVerdict verdict = QuotaVerdict::kNotOwner;
  std::uint32_t retry_in_ms = 0;  ///< If exceeded: time until the quota admits the request.

  bool operator==(const QuotaAnswer&) const = default;
};

std::string encode(const QuotaCall& call);
std::string encode(const QuotaAnswer& answer);

bool is_quota_call(std::string_view bytes);
bool is_quota_answer(std::string_view bytes);

/// @return the message, or what is wrong with the bytes.
tl::expected<QuotaCall, std::string> decode_quota_call(std::string_view bytes);
tl::expected<QuotaAnswer, std::string> decode_quota_answer(std::string_view bytes);

}  // namespace shuntbank
