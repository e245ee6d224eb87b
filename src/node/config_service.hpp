/// @file
/// Configuration of this node. A few readers watch the platform's store, the other nodes pull from
/// peers, and operators make changes through any node.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/periodic.hpp"
#include "core/configuration/config_replica.hpp"
#include "node/cluster_service.hpp"
#include "platform/object_client.hpp"

namespace shuntbank {

/// Why a change failed.
struct ChangeFailure {
  enum class Kind {
    kRefused,      ///< Conflicts or findings: nothing was changed.
    kUnavailable,  ///< The platform did not answer a read: nothing was changed.
    kUnknown,      ///< A write was not answered and could not be confirmed in time.
  };
  Kind kind = Kind::kUnavailable;
  EditRefusal refusal;
};

/// Replicates the configuration and applies operators' changes.
class ConfigService {
 public:
  using AdoptedHandler = std::function<void(const SnapshotPointer&)>;

  /// @param on_adopted called after each new revision becomes active.
  ConfigService(Runtime& runtime, ObjectClient& platform, std::uint64_t seed,
                AdoptedHandler on_adopted);

  /// Sets the cluster service, which is constructed after this one. @pre called before `start`.
  void set_cluster(ClusterService& cluster) { cluster_ = &cluster; }

  /// Starts reading.
  void start();

  const ConfigReplica& replica() const { return replica_; }

  /// @return whether a revision was adopted since the start.
  bool ready() const { return replica_.snapshot() != nullptr; }

  /// @return whether the last call to the platform was answered.
  bool platform_reachable() const { return platform_reachable_; }

  /// Applies an operator's edits atomically.
  /// @param handler called with the new revision once stored, or with the failure.
  using ChangeHandler = std::function<void(tl::expected<Revision, ChangeFailure>)>;
  void change(std::vector<ObjectEdit> edits, ChangeHandler handler);

  /// Pulls from the peer if its revision is newer.
  void on_peer_revision(const MemberFact& peer, Revision revision);

  /// @return the changes since the revision that a peer holds.
  Message on_pull(const ConfigPull& pull) const;

 private:
  struct Change;

  void tick();
  bool is_store_reader() const;
  void read_platform();
  void watch_platform();
  void on_platform_value(const tl::expected<std::optional<VersionedValue>, PlatformError>& result);
  void adopt_document(const nlohmann::json& value);
  void pull_from(const std::string& address);
  void on_offer(OfferResult result);
  void read_for_change(const std::shared_ptr<Change>& change);
  void write_change(const std::shared_ptr<Change>& change,
                    const std::optional<VersionedValue>& stored);
  void confirm_write(const std::shared_ptr<Change>& change);
  void finish(const std::shared_ptr<Change>& change, const ConfigDocument& document);

  Runtime& runtime_;
  ObjectClient& platform_;

  ClusterService* cluster_ = nullptr;
  AdoptedHandler on_adopted_;
  ConfigReplica replica_;
  std::mt19937_64 random_;
  std::uint64_t platform_version_ = 0;
  bool platform_reachable_ = false;
  bool store_call_pending_ = false;
  bool pull_pending_ = false;
  MonotonicTime next_read_{};
  std::uint32_t consecutive_failures_ = 0;
  std::unique_ptr<Periodic> ticker_;
};

/// Key of the configuration document in the platform's store.
constexpr const char* kConfigKey = "config";

}  // namespace shuntbank
