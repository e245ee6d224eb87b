/// @file
/// Persists which software versions each service has, so that streams can be taken up after all
/// nodes have restarted at once.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "relay/relay_node.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Key of the object, and timing.
struct VersionStoreSettings {
  std::string kind = "shuntbank-versions";
  std::string name = "services";
  Duration call_timeout = std::chrono::milliseconds(1500);
  /// How often the writer compares the object with what it sees, and how often a call is repeated.
  Duration interval = std::chrono::seconds(1);
  /// A version that the object lacks for this long, and as long again for each node that ranks
  /// before this one, is added by this node: perhaps no node is the writer.
  Duration takeover_delay = std::chrono::milliseconds(500);
};

/// Reads the object when the node starts. One node at a time writes it when a version appears, or
/// was last seen longer ago than streams can be taken up. The others add versions that it lacks.
class VersionStore {
 public:
  /// All references outlive this. @param own_is_writer whether this node is to write now.
  VersionStore(Runtime& own_runtime, store::ObjectStore& own_store, RelayNode& own_node,
               bool bootstrap, std::function<bool()> own_is_writer,
               const VersionStoreSettings& own_settings = {});
  ~VersionStore();
  VersionStore(const VersionStore&) = delete;
  VersionStore& operator=(const VersionStore&) = delete;

 private:
  using StoreResult = tl::expected<store::StoredObject, store::StoreError>;
  using Versions = std::map<ServiceName, std::set<std::string>>;

  void tick();
  void on_new_version();
  Versions missing_versions() const;
  bool may_write() const;
  void read();
  void on_read(const StoreResult& answer);
  Versions content() const;
  void write(const StoreResult& answer);
  void on_written(const StoreResult& answer);
  void adopt(const Versions& stored);

  Runtime& runtime;
  store::ObjectStore& store;
  RelayNode& node;
  std::function<bool()> is_writer;
  VersionStoreSettings settings;
  bool adopted;            ///< The versions of before this start are known, or there are none.
  Versions known_content;  ///< Of the object, as last read or written.
  std::optional<MonotonicTime> missing_since;  ///< When the object was first seen to lack some.
  bool call_pending = false;
  std::unique_ptr<Periodic> ticker;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
