/// @file
/// The port to a store of versioned objects: what the relay asks of it, whatever it speaks.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/time.hpp"

namespace shuntbank::store {

/// An object as the store holds it.
struct StoredObject {
  std::string name;
  std::uint64_t revision = 0;  ///< The store's revision of the object's last change.
  nlohmann::json content;
};

/// All objects of a kind as of one revision of the store.
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

/// Changes in their order, up to a revision of the store.
struct ChangeBatch {
  std::vector<ObjectChange> changes;
  std::uint64_t revision = 0;
  Duration transfer_time{};  ///< From its first byte to its last.
};

/// Why a call brought nothing.
enum class StoreError {
  kNotDone,      ///< The store did nothing: refused, throttled, or not reached.
  kUncertain,    ///< No answer: it may have been done, or may still be done.
  kConflict,     ///< The object is not at the revision that was named, or exists already.
  kMissing,      ///< No such object.
  kHistoryGone,  ///< A watch from so old a revision cannot be answered; list again.
  kMalformed,    ///< The answer cannot be read.
};

/// @return a short name for logs and metrics.
const char* to_text(StoreError error);

/// How fresh an answer must be.
enum class Freshness {
  kLatest,  ///< Holds every change that the store acknowledged before the call.
  kMayLag,  ///< May be seconds old, and costs the store little.
};

/// @return a short name for logs.
const char* to_text(Freshness freshness);

/// Names a call that is under way.
using CallId = std::uint64_t;

template <typename Value>
using StoreHandler = std::function<void(tl::expected<Value, StoreError>)>;

/// Calls to the store. Handlers are called on the loop, never before the call returns. The time
/// limit of a list or a watch holds until its answer begins; how long that may take is for its size
/// and the link to say, so that from there on only silence ends it.
class ObjectStore {
 public:
  ObjectStore() = default;
  virtual ~ObjectStore() = default;
  ObjectStore(const ObjectStore&) = delete;
  ObjectStore& operator=(const ObjectStore&) = delete;

  /// Reads all objects of a kind.
  virtual CallId list(const std::string& kind, Freshness freshness, Duration timeout,
                      StoreHandler<ObjectList> handler) = 0;

  /// Waits up to `wait` for changes behind `revision`.
  virtual CallId watch(const std::string& kind, std::uint64_t revision, Freshness freshness,
                       Duration wait, Duration timeout, StoreHandler<ChangeBatch> handler) = 0;

  /// @return bytes of the answer to a list or a watch that have come so far; 0: none, or the call
  /// has ended.
  virtual std::size_t received(CallId call) const = 0;

  /// Gives a list or a watch up: its handler is not called, and what the store still sends of the
  /// answer no longer fills the link.
  virtual void cancel(CallId call) = 0;

  /// Reads one object.
  virtual void read(const std::string& kind, const std::string& name, Duration timeout,
                    StoreHandler<StoredObject> handler) = 0;

  /// Makes an object that must not exist yet. @return it, with its revision.
  virtual void create(const std::string& kind, const std::string& name,
                      const nlohmann::json& content, Duration timeout,
                      StoreHandler<StoredObject> handler) = 0;

  /// Replaces an object that must be at `revision`. @return it, with its new revision.
  virtual void replace(const std::string& kind, const std::string& name, std::uint64_t revision,
                       const nlohmann::json& content, Duration timeout,
                       StoreHandler<StoredObject> handler) = 0;
};

}  // namespace shuntbank::store
