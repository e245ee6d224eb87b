/// @file
/// Keeps the origins of running streams in the store, so that callers can take streams up after all
/// nodes have been killed. Only while a service has engines of several software versions: with one
/// version the origin needs no record.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/periodic.hpp"
#include "common/runtime.hpp"
#include "core/relay/stream_origin.hpp"
#include "relay/relay_node.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// Origins of streams by their keys.
using StreamOriginMap = std::map<StreamKey, StreamOrigin>;

/// Kind of the objects, and timing.
struct StreamArchiveSettings {
  std::string kind = "shuntbank-streams";
  Duration call_timeout = std::chrono::milliseconds(1500);
  /// Callers wait for a list.
  Duration list_timeout = std::chrono::milliseconds(600);
  /// Between two writes of a node: 100 writes a second of the fleet.
  Duration write_interval_per_node = std::chrono::milliseconds(10);
  /// Between two lists of a node: 25 lists a second of the fleet, of about 2 KB for each node.
  Duration list_interval_per_node = std::chrono::milliseconds(40);
  Duration min_interval = std::chrono::milliseconds(20);
  /// Between two checks whether streams have ended, and after a failed call.
  Duration check_interval = std::chrono::seconds(1);
  /// Not used by larger fleets, as the lists of all nodes would fill the store's link.
  std::size_t max_nodes = 400;
};

/// One object for each node, which only that node writes.
class StreamArchive {
 public:
  using Handler = std::function<void(const std::optional<StreamOrigin>&)>;

  /// All references outlive this. @param own_name names this node's object.
  StreamArchive(Runtime& runtime, store::ObjectStore& store, RelayNode& node,
                const std::string& own_name, const StreamArchiveSettings& settings = {});
  ~StreamArchive();
  StreamArchive(const StreamArchive&) = delete;
  StreamArchive& operator=(const StreamArchive&) = delete;

  /// Looks a stream up in the objects of all nodes. The handler is called later.
  void find(StreamKey key, Handler handler);

  /// Removes the object of a node that is gone for good.
  void remove(const NodeId& gone);

 private:
  using StoreResult = tl::expected<store::StoredObject, store::StoreError>;
  struct Lookup {
    StreamKey key = 0;
    Handler handler;
  };

  Duration interval(Duration per_node) const;
  bool fleet_too_large() const;
  void tick();
  void write_soon();
  void pause();
  void read_own();
  void on_own_read(const StoreResult& answer);
  void write(const StreamOriginMap& origins);
  void on_written(const StreamOriginMap& origins, const StoreResult& answer);
  void list();
  void on_list(const tl::expected<store::ObjectList, store::StoreError>& answer);
  void answer_lookups();
  StreamOriginMap earlier_streams();

  Runtime& runtime;
  store::ObjectStore& store;
  RelayNode& node;
  std::string self;
  StreamArchiveSettings settings;
  std::unique_ptr<Timer> timer;
  std::unique_ptr<Periodic> check_timer;
  MonotonicTime next_write_at{};

  bool call_pending = false;
  std::optional<std::uint64_t> revision;  ///< Of this node's object; 0: there is none.
  StreamOriginMap written;                ///< Its content.
  StreamOriginMap earlier;                ///< Of it at the start of this process.
  MonotonicTime earlier_until{};

  std::vector<Lookup> lookups;  ///< Wait for the next list.
  bool list_pending = false;
  std::optional<MonotonicTime> last_list_at;  ///< Also of a list that failed.
  StreamOriginMap listed;
  std::unique_ptr<Timer> list_timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
