/// @file
/// Checks that no stream holds events of two software versions, and that streams which callers take
/// up go on while engines of their version serve.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "common/time.hpp"

namespace shuntbank::testing {

/// Judges by what callers received.
class StreamVersionChecker {
 public:
  /// A node counts as undisturbed this long after its last disturbance.
  static constexpr Duration kContactTime = std::chrono::seconds(3);
  /// Judged streams from which on their share is checked.
  static constexpr std::size_t kMinJudged = 12;

  void on_node_disturbed(MonotonicTime now, const std::string& node) {
    this->disturbed_at[node] = now;
  }

  void on_store_fault(MonotonicTime now, bool failing) {
    this->store_failing = failing;
    this->store_changed_at = now;
  }

  /// @param stream the request that brought its first event. @return a violation, or empty.
  std::string on_event(const std::string& stream, const std::string& version) {
    const auto [known, added] = this->versions.try_emplace(stream, version);
    if (added || known->second == version) return {};
    return "began at " + known->second + " and went on at " + version;
  }

  /// @return the version that began a stream, or empty.
  std::string version_of(const std::string& stream) const {
    const auto found = this->versions.find(stream);
    return found == this->versions.end() ? std::string() : found->second;
  }

  /// @return whether a stream that is taken up at the node has to go on.
  bool is_judged(MonotonicTime now, const std::string& node) const {
    const auto found = this->disturbed_at.find(node);
    const bool calm = found == this->disturbed_at.end() || now - found->second > kContactTime;
    return calm && !this->store_failing && now - this->store_changed_at > kContactTime;
  }

  void on_new_stream_ended(bool began) {
    ++this->new_streams;
    if (began) ++this->begun_streams;
  }

  void on_taken_up_ended(bool judged, bool went_on) {
    ++this->taken_up;
    if (!judged) return;
    ++this->judged_streams;
    if (went_on) ++this->continued_streams;
  }

  /// @return a violation of the whole run, or empty.
  std::string finish() const {
    if (this->judged_streams < kMinJudged) return {};
    if (share(this->continued_streams, this->judged_streams) >=
        share(this->begun_streams, this->new_streams) / 2) {
      return {};
    }
    return std::to_string(this->continued_streams) + " of " + std::to_string(this->judged_streams) +
           " streams that were taken up went on, " + std::to_string(this->begun_streams) + " of " +
           std::to_string(this->new_streams) + " new ones began";
  }

  std::size_t taken_up_count() const { return this->taken_up; }
  std::size_t judged_count() const { return this->judged_streams; }
  std::size_t continued_count() const { return this->continued_streams; }

 private:
  static double share(std::size_t part, std::size_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
  }

  std::map<std::string, std::string> versions;  ///< By stream.
  std::map<std::string, MonotonicTime> disturbed_at;
  bool store_failing = false;
  MonotonicTime store_changed_at{};
  std::size_t new_streams = 0;
  std::size_t begun_streams = 0;
  std::size_t taken_up = 0;
  std::size_t judged_streams = 0;
  std::size_t continued_streams = 0;
};

}  // namespace shuntbank::testing
