/// @file
/// Client of the platform's object API: versioned objects with compare-and-set,
/// watches and the list of machines. docs/design/0002-published-interfaces.md describes it.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/time.hpp"
#include "net/http_client.hpp"

namespace shuntbank {

/// An object and its version. Versions only grow.
struct VersionedValue {
  std::uint64_t version = 0;
  nlohmann::json value;
};

/// Result of a compare-and-set that was answered.
struct WriteResult {
  bool applied = false;
  std::uint64_t version = 0;  ///< Current version of the object.
};

/// Reasons for a call without a result.
enum class PlatformError {
  kUnavailable,  ///< Down, slow or cut off. A write may have taken effect.
  kTooManyReaders,
};

/// One entry of the machine list. The list may be stale.
struct Machine {
  std::string name;
  std::string kind;     ///< `node` or `engine`.
  std::string address;  ///< Where a node accepts messages from other nodes, or an engine API calls.
  bool leaving = false;
};

/// Calls the platform over HTTP.
class ObjectClient {
 public:
  ObjectClient(HttpClient& http, std::string address);

  using ReadHandler =
      std::function<void(tl::expected<std::optional<VersionedValue>, PlatformError>)>;

  /// Reads one object. The result is std::nullopt if the object does not exist.
  void read(const std::string& key, ReadHandler handler);

  /// Waits until the object's version is above `from`. The result is std::nullopt if `kWatchTime`
  /// passes first or the object does not exist.
  void watch(const std::string& key, std::uint64_t from, ReadHandler handler);

  using WriteHandler = std::function<void(tl::expected<WriteResult, PlatformError>)>;

  /// Replaces the object if its version is `expected_version`; zero: if it does not exist yet.
  void write(const std::string& key, std::uint64_t expected_version, const nlohmann::json& value,
             WriteHandler handler);

  using MachinesHandler = std::function<void(tl::expected<std::vector<Machine>, PlatformError>)>;

  /// Reads the machine list.
  void list_machines(MachinesHandler handler);

  /// Time after which the platform answers a watch without a change.
  static constexpr Duration kWatchTime = std::chrono::seconds(20);

 private:
  void read_url(const std::string& url, Duration timeout, ReadHandler handler);

  HttpClient& http_;
  std::string base_url_;
};

}  // namespace shuntbank
