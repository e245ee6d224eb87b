/// @file
/// What nodes say to the keeper of an engine's limit, and what it answers. Datagrams in
/// MessagePack, told apart from others by their first byte; a node of a version that does not know
/// them drops them, and is passed over as one that is silent.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/relay/engine_limit.hpp"

namespace shuntbank {

/// Asks for one send to an engine, or only for a sign of life.
struct PermitCall {
  NodeId node;
  std::uint64_t boot = 0;    ///< Of the asking process.
  std::uint64_t number = 0;  ///< Comes back with the answer.
  EngineId engine;
  bool wants_permit = false;
  std::uint32_t earliest_send_ms = 0;  ///< Until the send can leave.
  std::uint32_t max_wait_ms = 0;       ///< From then on: a later send is of no use.
  relay::ToldLimit limit;              ///< As the asking node knows it.

  bool operator==(const PermitCall&) const = default;
};

/// What became of a call.
enum class PermitVerdict {
  kGranted,
  kWaitExceeded,  ///< Not within the wait that was asked for.
  kNotOwner,      ///< Another node keeps the limit, as far as this one can tell.
};

/// The answer to a call.
struct PermitAnswer {
  NodeId node;
  std::uint64_t boot = 0;    ///< Of the call.
  std::uint64_t number = 0;  ///< The same.
  EngineId engine;
  PermitVerdict verdict = PermitVerdict::kNotOwner;
  std::uint32_t send_in_ms = 0;         ///< Until the send that was granted may leave.
  std::uint32_t next_permit_in_ms = 0;  ///< Until another one may.
  relay::ToldLimit limit;               ///< As the answering node knows it.

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
