/// @file
/// Bounds the share of a node's link that large answers to other nodes take.
#pragma once

#include <cstddef>

#include "common/runtime.hpp"

namespace shuntbank::relay {

/// Settings of a `LinkShare`.
struct LinkShareSettings {
  double megabits_per_second = 0;  ///< Link rate of this machine; may be unknown (0).
  double share = 1;
  std::size_t unlimited_bytes = 0;  ///< Answers up to this size are always admitted.
};

/// Admits large answers one after another, at a share of the link rate.
class LinkShare {
 public:
  LinkShare(Runtime& own_runtime, const LinkShareSettings& own_settings)
      : runtime(own_runtime), settings(own_settings) {}

  /// @return whether an answer of this size may be sent now.
  bool admit(std::size_t bytes);

 private:
  Runtime& runtime;
  LinkShareSettings settings;
  MonotonicTime next_answer_at{};
};

}  // namespace shuntbank::relay
