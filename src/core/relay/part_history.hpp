/// @file
/// Prompt parts that engines have lately answered requests with.
#pragma once

#include <cstddef>
#include <map>

#include "common/time.hpp"
#include "core/relay/request_identity.hpp"

namespace shuntbank::relay {

/// Tunables of the history.
struct PartHistorySettings {
  /// A part of a request that completed within this time does not crash engines. Longer than it
  /// takes crashed engines to restart, as nothing completes meanwhile.
  Duration retention = std::chrono::seconds(10);
  std::size_t max_parts = 10000;  ///< About 100 bytes each; further ones are not recorded.
};

/// Records the parts of completed requests.
class PartHistory {
 public:
  explicit PartHistory(const PartHistorySettings& own_settings = {}) : settings(own_settings) {}

  void on_completed(MonotonicTime now, const RequestIdentity& part);

  bool completed_lately(MonotonicTime now, const RequestIdentity& part) const;

  void expire(MonotonicTime now);

  std::size_t size() const { return this->completed_at.size(); }

 private:
  PartHistorySettings settings;
  std::map<RequestIdentity, MonotonicTime> completed_at;
};

}  // namespace shuntbank::relay
