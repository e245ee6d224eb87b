/// @file
/// A lease in the platform's store, acquired by compare-and-set, whose epoch fences orders.
/// The holder stops acting by its own clock; safety relies on the fence at the engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/identifiers.hpp"
#include "common/time.hpp"

namespace shuntbank {

/// The stored form of a lease.
struct LeaseRecord {
  NodeId holder;
  Fence epoch = 0;
  std::string write_id;  ///< Unique for each write; shows whether an unanswered write was applied.
  Duration duration{0};  ///< Others may take the lease this long after first seeing the record.

  bool operator==(const LeaseRecord&) const = default;
};

/// A stored record and its version for compare-and-set. Version zero: nothing is stored yet.
struct VersionedLease {
  std::uint64_t version = 0;
  LeaseRecord record;
};

/// Timing of a lease.
struct LeaseSettings {
  Duration duration = std::chrono::seconds(10);
  Duration renew_interval = std::chrono::seconds(3);
  Duration safety_margin = std::chrono::seconds(2);  ///< A holder stops this long before expiry.
};

/// What the caller must do next for one lease.
enum class LeaseAction {
  kNothing,
  kRead,   ///< Read the record, then call `on_read` or `on_read_failed`.
  kWrite,  ///< Compare-and-set `pending_write`, then call `on_written` or `on_write_unanswered`.
};

/// One node's state machine for one lease.
class LeaseHolder {
 public:
  LeaseHolder(NodeId self, const LeaseSettings& settings);

  /// @return what to do now. At most one read or write is in flight.
  /// @param wanted whether this node should hold the lease given the current members.
  /// @param write_id a fresh identifier, used if a write follows.
  LeaseAction poll(MonotonicTime now, bool wanted, const std::string& write_id);

  /// The record was read from the store.
  void on_read(MonotonicTime now, const VersionedLease& lease);

  /// The read got no answer; it is retried after the renew interval.
  void on_read_failed(MonotonicTime now);

  /// The write was answered. @param applied false when the stored version had changed.
  void on_written(MonotonicTime now, bool applied, std::uint64_t version);

  /// The write got no answer. It may have been applied, so the record is read next.
  void on_write_unanswered(MonotonicTime now);

  /// Sets how often a node that does not hold the lease reads it. A long interval only delays a
  /// takeover by this node.
  void set_standby_interval(Duration interval) { standby_interval_ = interval; }

  /// Gives up the lease: no order may be sent afterwards.
  void resign();

  /// @return the fence while this node may act, else nothing. Check right before sending an order.
  std::optional<Fence> authority(MonotonicTime now) const;

  /// @return the write to send after `LeaseAction::kWrite`, with the expected stored version.
  const VersionedLease& pending_write() const { return pending_write_; }

  /// @return the record as last seen in the store.
  const VersionedLease& last_seen() const { return seen_; }

 private:
  bool last_seen_is_own() const;
  void prepare_write(MonotonicTime now, Fence epoch, const std::string& write_id);
  void confirm_write(MonotonicTime sent_at);

  NodeId self_;
  LeaseSettings settings_;
  VersionedLease seen_;
  bool seen_valid_ = false;
  MonotonicTime seen_changed_at_{};  ///< When this node first saw the current record.
  VersionedLease pending_write_;     ///< The latest write.
  std::optional<MonotonicTime> unconfirmed_write_at_;  ///< Set while a write's outcome is unknown.
  bool call_pending_ = false;
  MonotonicTime next_poll_{};
  std::optional<Fence> epoch_;
  MonotonicTime valid_until_{};
  std::optional<Duration> standby_interval_;  ///< Unset: the renew interval.
};

}  // namespace shuntbank
