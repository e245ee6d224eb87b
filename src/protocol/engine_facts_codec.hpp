/// @file
/// Encoding of stage notices, engine samples and served tokens within load messages and digests.
/// Each entry is an array that begins with the engine's name or key, or with the tenant's name.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>

#include "core/relay/engine_samples.hpp"
#include "core/relay/fair_share.hpp"
#include "core/relay/stage_notice.hpp"

namespace shuntbank {

/// Upper bounds of the encoded entries of a digest, in bytes.
constexpr std::size_t kMaxStageNoticeBytes = 22;
constexpr std::size_t kMaxSamplesBytes = 41;

/// Appends a notice to an entry that holds the engine.
void append_notice(nlohmann::json& entry, const relay::StageNotice& notice);

/// @return the notice that follows the engine. @throws nlohmann::json::exception if malformed.
relay::StageNotice notice_in(const nlohmann::json& entry);

/// Appends samples to an entry that holds the engine.
void append_samples(nlohmann::json& entry, const relay::EngineSamples& samples);

/// @return the samples that follow the engine. @throws nlohmann::json::exception if malformed.
relay::EngineSamples samples_in(const nlohmann::json& entry);

/// @return entries of a tenant's name and its tokens.
nlohmann::json served_to_json(const relay::ServedByTenant& served);

/// @return the served tokens in the list. @throws nlohmann::json::exception if malformed.
relay::ServedByTenant served_from_json(const nlohmann::json& list);

/// @return an upper bound of the size of an entry, in bytes.
std::size_t max_served_bytes(const TenantName& tenant);

}  // namespace shuntbank
