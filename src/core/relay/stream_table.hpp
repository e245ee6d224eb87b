/// @file
/// Origins of streams that are running or ended recently, at any node.
#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

#include "common/time.hpp"
#include "core/relay/stream_origin.hpp"

namespace shuntbank::relay {

/// How long after its last event a stream may be taken up: longer than callers wait for an answer.
constexpr Duration kStreamRetention = std::chrono::seconds(60);

/// Tunables of the table.
struct StreamTableSettings {
  Duration retention = kStreamRetention;
  std::size_t max_streams = 50000;  ///< About 150 bytes each.
};

/// Forgets a stream some time after it was last put, and the oldest first when full.
class StreamTable {
 public:
  explicit StreamTable(const StreamTableSettings& own_settings = {}) : settings(own_settings) {}

  /// Adds a stream, or extends its retention. Its first origin stays.
  void put(MonotonicTime now, StreamKey key, const StreamOrigin& origin);

  std::optional<StreamOrigin> find(StreamKey key) const;

  void expire(MonotonicTime now);

  std::size_t size() const { return this->by_key.size(); }

 private:
  struct Entry {
    StreamKey key = 0;
    StreamOrigin origin;
    MonotonicTime put_at{};
  };
  void remove_oldest();

  StreamTableSettings settings;
  std::list<Entry> entries;  ///< Oldest first.
  std::unordered_map<StreamKey, std::list<Entry>::iterator> by_key;
};

}  // namespace shuntbank::relay
