/// @file
/// Lists of engines exchanged between nodes, complete or as the difference from the receiver's.
/// MessagePack; unknown fields are ignored. About 50 bytes an engine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/relay/engine_list.hpp"

namespace shuntbank {

/// Largest message that peers accept, in bytes: about 80,000 engines.
constexpr std::size_t kMaxEngineListMessage = 4UL << 20U;

/// Requests what has changed since the revision that the caller has.
struct EngineListCall {
  std::uint64_t known_revision = 0;  ///< 0: the caller has no list.

  bool operator==(const EngineListCall&) const = default;
};

std::string encode(const EngineListCall& call);
std::string encode(const relay::EngineListUpdate& update);

/// @return whether the bytes are an EngineListCall.
bool is_engine_list_call(std::string_view bytes);

/// @return the call, or what is wrong with the bytes.
tl::expected<EngineListCall, std::string> decode_engine_list_call(std::string_view bytes);

/// @return the update, or what is wrong with the bytes.
tl::expected<relay::EngineListUpdate, std::string> decode_engine_list(std::string_view bytes);

}  // namespace shuntbank
