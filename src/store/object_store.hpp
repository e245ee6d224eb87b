/// @file
/// Interface to a store of versioned objects, independent of its protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/time.hpp"

namespace shuntbank::store {

/// An object with its name and revision in the store.
struct StoredObject {
  std::string name;
  std::uint64_t revision = 0;  ///< Store revision of the object's last change.
  nlohmann::json content;
};

/// All objects of a kind at one revision of the store.
struct ObjectList {
  std::vector<StoredObject> objects;
  std::uint64_t revision = 0;
  Duration transfer_time{};  ///< From its first byte to its last.
};

/// One change of an object.
struct ObjectChange {
  StoredObject object;
  bool deleted = false;
};

/// Ordered changes up to a revision of the store.
struct ChangeBatch {
  std::vector<ObjectChange> changes;
  std::uint64_t revision = 0;
  Duration transfer_time{};  ///< From its first byte to its last.
};

/// Why a call failed.
enum class StoreError {
  kNotDone,      ///< Refused, throttled or unreachable: the store did nothing.
  kUncertain,    ///< No answer: the call may have taken or may yet take effect.
  kConflict,     ///< The object has another revision than expected, or exists already.
  kMissing,      ///< No such object.
  kHistoryGone,  ///< The revision is too old to watch from; list again.
  kMalformed,    ///< The answer cannot be parsed.
};

/// @return a short name for logs and metrics.
const char* to_text(StoreError error);

/// Required consistency of an answer.
enum class Freshness {
  kLatest,  ///< Includes every change acknowledged before the call.
  kMayLag,  ///< May be seconds old; cheaper for the store.
};

/// @return a short name for logs.
const char* to_text(Freshness freshness);

/// Identifies a call in flight.
using CallId = std::uint64_t;

template <typename Value>
using StoreHandler = std::function<void(tl::expected<Value, StoreError>)>;

/// Asynchronous client of the store. Handlers are called on the loop, never before the call
/// returns. The timeout of a list or a watch applies until the first byte of its answer; after that
/// only an idle timeout applies, since the transfer time depends on the answer's size and the link.
class ObjectStore {
 public:
  ObjectStore() = default;
  virtual ~ObjectStore() = default;
  ObjectStore(const ObjectStore&) = delete;
  ObjectStore& operator=(const ObjectStore&) = delete;

  /// Reads all objects of a kind.
  virtual CallId list(const std::string& kind, Freshness freshness, Duration timeout,
                      StoreHandler<ObjectList> handler) = 0;

  /// Waits up to `wait` for changes after `revision`.
  virtual CallId watch(const std::string& kind, std::uint64_t revision, Freshness freshness,
                       Duration wait, Duration timeout, StoreHandler<ChangeBatch> handler) = 0;

  /// @return bytes received so far of the answer to a list or a watch; 0 if none or if the call has
  /// ended.
  virtual std::size_t received(CallId call) const = 0;

  /// Aborts a list or a watch and the transfer of its answer; its handler is not called.
  virtual void cancel(CallId call) = 0;

  /// Reads one object.
  virtual void read(const std::string& kind, const std::string& name, Duration timeout,
                    StoreHandler<StoredObject> handler) = 0;

  /// Creates an object that must not exist yet. Passes it with its revision to `handler`.
  virtual void create(const std::string& kind, const std::string& name,
                      const nlohmann::json& content, Duration timeout,
                      StoreHandler<StoredObject> handler) = 0;

  /// Replaces an object that must be at `revision`. Passes it with its new revision to `handler`.
  virtual void replace(const std::string& kind, const std::string& name, std::uint64_t revision,
                       const nlohmann::json& content, Duration timeout,
                       StoreHandler<StoredObject> handler) = 0;

  /// Removes an object that must be at `revision`. Fails with `kMissing` if there is none.
  virtual void remove(const std::string& kind, const std::string& name, std::uint64_t revision,
                      Duration timeout, StoreHandler<void> handler) = 0;
};

}  // namespace shuntbank::store
