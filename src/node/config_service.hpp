/// @file
/// This node's configuration: read from the platform by a few readers, pulled from peers by the
/// rest, changed by operators through any node.
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

/// Why a change was not accepted.
struct ChangeFailure {
  enum class Kind {
    kRefused,      ///< Conflicts or findings: nothing was changed.
    kUnavailable,  ///< The platform did not answer a read: nothing was changed.
    kUnknown,      ///< A write was not answered and could not be settled in time.
  };
  Kind kind = Kind::kUnavailable;
  EditRefusal refusal;
};

/// Keeps the configuration current.
class ConfigService {
 public:
  using AdoptedHandler = std::function<void(const SnapshotPointer&)>;

  /// @param on_adopted called after each new revision is in force.
  ConfigService(Runtime& runtime, ObjectClient& platform, std::uint64_t seed,
                AdoptedHandler on_adopted);

  /// Names the cluster service, which is built after this one.
  void set_cluster(ClusterService& cluster) { cluster_ = &cluster; }

  /// Starts reading.
  void start();

  const ConfigReplica& replica() const { return replica_; }

  /// @return whether a revision was confirmed since the start.
  bool ready() const { return replica_.snapshot() != nullptr; }

  /// @return whether the last call to the platform was answered.
  bool platform_reachable() const { return platform_reachable_; }

  /// Applies an operator's edits: all or none.
  /// @param handler called with the new revision once the platform holds it, or the failure.
  using ChangeHandler = std::function<void(tl::expected<Revision, ChangeFailure>)>;
  void change(std::vector<ObjectEdit> edits, ChangeHandler handler);

  /// A peer holds this revision.
  void on_peer_revision(const MemberFact& peer, Revision revision);

  /// A peer asks for changes.
  Message on_pull(const ConfigPull& pull) const;

 private:
  struct Change;

  void tick();
  bool is_reader() const;
  void read_platform();
  void watch_platform();
  void on_platform_value(const tl::expected<std::optional<VersionedValue>, PlatformError>& result);
  void adopt_document(const nlohmann::json& value);
  void pull_from(const std::string& address);
  void on_offer_result(OfferResult result);
  void read_for_change(const std::shared_ptr<Change>& change);
  void write_change(const std::shared_ptr<Change>& change,
                    const std::optional<VersionedValue>& stored);
  void confirm_write(const std::shared_ptr<Change>& change);
  void complete_change(const std::shared_ptr<Change>& change, const ConfigDocument& document);

  Runtime& runtime_;
  ObjectClient& platform_;

  ClusterService* cluster_ = nullptr;
  AdoptedHandler on_adopted_;
  ConfigReplica replica_;
  std::mt19937_64 random_;
  std::uint64_t platform_version_ = 0;
  bool platform_reachable_ = false;
  bool read_pending_ = false;
  bool pull_pending_ = false;
  MonotonicTime next_read_{};
  std::uint32_t consecutive_failures_ = 0;
  std::unique_ptr<Periodic> ticker_;
};

/// Key of the configuration document in the platform's store.
constexpr const char* kConfigKey = "config";

}  // namespace shuntbank
