/// @file
/// Messages between nodes and the owner of an engine's limit. Datagrams in MessagePack, identified
/// by their first byte; versions that do not know them drop them and are treated as silent nodes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/relay/engine_limit.hpp"

namespace shuntbank {

/// Requests a permit for one send to an engine, or only a sign of life.
struct PermitCall {
  NodeId node;
  std::uint64_t boot = 0;    ///< Of the calling process.
  std::uint64_t number = 0;  ///< Repeated in the answer.
  EngineId engine;
  bool wants_permit = false;
  std::uint32_t earliest_send_ms = 0;  ///< Time until the caller is ready to send.
  std::uint32_t max_wait_ms = 0;       ///< From then on; a later permit is useless.
  relay::LimitReport limit;            ///< As known to the caller.

  bool operator==(const PermitCall&) const = default;
};

/// Outcome of a call.
enum class PermitVerdict {
  kGranted,
  kWaitExceeded,  ///< No permit within `max_wait_ms`.
  kNotOwner,      ///< Another node owns the limit, as far as this one knows.
};

/// The answer to a call.
struct PermitAnswer {
  NodeId node;
  std::uint64_t boot = 0;    ///< Copied from the call.
  std::uint64_t number = 0;  ///< Copied from the call.
  EngineId engine;
  PermitVerdict verdict = PermitVerdict::kNotOwner;
  std::uint32_t send_in_ms = 0;         ///< Time until the granted send is allowed.
  std::uint32_t next_permit_in_ms = 0;  ///< Time until the next one is.
  relay::LimitReport limit;             ///< As known to the answering node.

  bool operator==(const PermitAnswer&) const = default;
};

std::string encode(const PermitCall& call);
std::string encode(const PermitAnswer& answer);

bool is_permit_call(std::string_view bytes);
bool is_permit_answer(std::string_view bytes);

/// @return the message, or what is wrong with the bytes.
tl::expected<PermitCall, std::string> decode_permit_call(std::string_view bytes);
tl::expected<PermitAnswer, std::string> decode_permit_answer(std::string_view bytes);

}  // namespace shuntbank
