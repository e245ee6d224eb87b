/// @file
/// Messages between nodes about the origins of streams. Datagrams in MessagePack, identified by
/// their first byte; versions that do not know them drop them and are treated as silent nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/identifiers.hpp"
#include "core/relay/service_versions.hpp"
#include "core/relay/stream_origin.hpp"

namespace shuntbank {

/// The receiver is to hold the stream's origin.
struct StreamRecord {
  NodeId node;
  relay::StreamKey key = 0;
  relay::StreamOrigin origin;

  bool operator==(const StreamRecord&) const = default;
};

/// Asks for a stream's origin.
struct StreamCall {
  NodeId node;
  std::uint64_t boot = 0;    ///< Of the calling process.
  std::uint64_t number = 0;  ///< Repeated in the answer.
  relay::StreamKey key = 0;
  ServiceName service;  ///< Whose versions are asked for.

  bool operator==(const StreamCall&) const = default;
};

/// The answer to a call.
struct StreamAnswer {
  NodeId node;
  std::uint64_t boot = 0;                     ///< Copied from the call.
  std::uint64_t number = 0;                   ///< Copied from the call.
  std::optional<relay::StreamOrigin> origin;  ///< Unset: unknown.
  relay::RecentVersions recent;               ///< Of the service in the call.

  bool operator==(const StreamAnswer&) const = default;
};

std::string encode(const StreamRecord& record);
std::string encode(const StreamCall& call);
std::string encode(const StreamAnswer& answer);

bool is_stream_record(std::string_view bytes);
bool is_stream_call(std::string_view bytes);
bool is_stream_answer(std::string_view bytes);

/// @return the message, or what is wrong with the bytes.
tl::expected<StreamRecord, std::string> decode_stream_record(std::string_view bytes);
tl::expected<StreamCall, std::string> decode_stream_call(std::string_view bytes);
tl::expected<StreamAnswer, std::string> decode_stream_answer(std::string_view bytes);

}  // namespace shuntbank
