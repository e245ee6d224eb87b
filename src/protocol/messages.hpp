/// @file
/// Typed messages between nodes and their JSON codec. Unknown fields are ignored, so that nodes of
/// neighbouring versions understand each other; a message of another major version is refused.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "common/identifiers.hpp"
#include "config/document.hpp"
#include "core/membership/membership.hpp"
#include "core/routing/engine_table.hpp"

namespace shuntbank {

/// Major version of the protocol between nodes.
constexpr int kProtocolVersion = 1;

/// Largest datagram, in bytes: below the usual path limits, so that none is split.
constexpr std::size_t kMaxDatagram = 1200;

/// Largest framed message, in bytes.
constexpr std::size_t kMaxFrame = 16UL << 20U;

/// "I am here", with a few facts. By datagram.
struct Heartbeat {
  NodeId from;
  bool is_answer = false;
  Revision revision = 0;  ///< Configuration that the sender holds.
  std::vector<MemberFact> members;
  std::vector<EngineFact> engines;
  std::uint64_t engines_digest = 0;
};

/// "I hold this revision": sent at once when a new one was adopted. By datagram.
struct RevisionNotice {
  NodeId from;
  Revision revision = 0;
};

/// Tokens of one service that a node was asked for. To the service's controller, by datagram.
struct DemandReport {
  NodeId from;
  ServiceName service;
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
};

/// Asks for configuration changes. By framed connection.
struct ConfigPull {
  Revision have = 0;
};

/// Answer to `ConfigPull`: the changes since `base`.
struct ConfigChanges {
  Revision base = 0;
  ConfigDocument document;
};

/// Asks for all facts. By framed connection.
struct FactsPull {};

/// Answer to `FactsPull`.
struct FactsReply {
  std::vector<MemberFact> members;
  std::vector<EngineFact> engines;
};

using Message = std::variant<Heartbeat, RevisionNotice, DemandReport, ConfigPull, ConfigChanges,
                             FactsPull, FactsReply>;

/// @return the message as JSON text.
std::string encode(const Message& message);

/// @return the message, or what is wrong with the text. Never throws.
tl::expected<Message, std::string> decode(std::string_view text);

}  // namespace shuntbank
