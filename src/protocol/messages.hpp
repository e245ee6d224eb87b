/// @file
/// Typed messages between nodes and their JSON codec. Unknown fields are ignored, so that nodes of
/// neighbouring versions are compatible; messages of another major version are rejected.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "common/identifiers.hpp"
#include "config/document.hpp"
#include "core/membership/membership.hpp"
#include "core/requests/claim_group.hpp"
#include "core/routing/engine_table.hpp"

namespace shuntbank {

/// Major version of the protocol between nodes.
constexpr int kProtocolVersion = 1;

/// Largest Heartbeat, in bytes: below the usual path MTU, to avoid fragmentation.
constexpr std::size_t kMaxHeartbeat = 1200;

/// Largest framed message, in bytes.
constexpr std::size_t kMaxFrame = 16UL << 20U;

/// Sign of life with a few member and engine facts. By datagram.
struct Heartbeat {
  NodeId from;
  bool is_answer = false;
  Revision revision = 0;  ///< Configuration that the sender holds.
  std::vector<MemberFact> members;
  std::vector<EngineFact> engines;
  std::uint64_t engines_digest = 0;
};

/// Announces a newly adopted configuration revision. By datagram.
struct RevisionNotice {
  NodeId from;
  Revision revision = 0;
};

/// Token demand for one service at a node. To the service's controller, by datagram.
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

/// Claims a key at one replica. By framed connection.
struct ClaimRequest {
  ClaimView view = 0;
  ClaimKey key;
  RequestId claimant;
};

/// Answer to `ClaimRequest`.
struct ClaimAnswer {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
};

/// Releases a claim. By datagram: if it is lost, the key only stays held.
struct ClaimRelease {
  ClaimKey key;
  RequestId claimant;
};

/// Seals the views below `view` at one replica. By framed connection.
struct ClaimSeal {
  ClaimView view = 0;
};

/// Answer to `ClaimSeal`.
struct ClaimSealed {
  SealResult result;
};

/// Installs a view at one replica. By framed connection.
struct ClaimInstall {
  ClaimView view = 0;
  std::uint64_t boot = 0;  ///< Of the receiving process.
  std::vector<ClaimEntry> entries;
  Duration quiet_for{0};
};

/// Answer to `ClaimInstall` and `ClaimProbe`.
struct ClaimStatus {
  ClaimView active_view = 0;
};

/// Asks a replica which view it serves. By framed connection.
struct ClaimProbe {};

/// Asks the coordinator for the members of the claim group: the replicas that record claims on
/// keys. By framed connection.
struct ClaimGroupPull {};

/// Answer to `ClaimGroupPull`.
struct ClaimGroupReply {
  ClaimGroupRecord record;
};

using Message =
    std::variant<Heartbeat, RevisionNotice, DemandReport, ConfigPull, ConfigChanges, FactsPull,
                 FactsReply, ClaimRequest, ClaimAnswer, ClaimRelease, ClaimSeal, ClaimSealed,
                 ClaimInstall, ClaimStatus, ClaimProbe, ClaimGroupPull, ClaimGroupReply>;

nlohmann::json to_json(const ClaimGroupRecord& record);

/// @throw nlohmann::json::exception when a field is absent or of another type.
ClaimGroupRecord claim_group_from_json(const nlohmann::json& json);

/// @return the message as JSON text.
std::string encode(const Message& message);

/// @return the message, or what is wrong with the text. Never throws.
tl::expected<Message, std::string> decode(std::string_view text);

}  // namespace shuntbank
