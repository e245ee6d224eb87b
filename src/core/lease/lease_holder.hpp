/// @file
/// A lease in the platform's store, taken by compare-and-set, whose epoch fences orders.
/// The holder stops on its own clock; safety rests on the fence at the engine, not on the clock.
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
  std::string write_id;  ///< Chosen by the writer for each write; settles a lost answer.
  Duration duration{0};  ///< How long the holder may act after it sent this write.

  bool operator==(const LeaseRecord&) const = default;
};

/// A stored record with the version for compare-and-set. Version zero: nothing is stored yet.
struct VersionedLease {
  std::uint64_t version = 0;
  LeaseRecord record;
};

/// Bounds of a lease.
struct LeaseSettings {
  Duration duration = std::chrono::seconds(10);
  Duration renew_interval = std::chrono::seconds(3);
  Duration safety_margin =
      std::chrono::seconds(2);  ///< A holder stops this long before the lease ends.
};

/// What the driver does next for one lease.
enum class LeaseAction {
  kNothing,
  kRead,   ///< Read the record and report it by `on_read`.
  kWrite,  ///< Compare-and-set `pending_write` and report by `on_written` or `on_write_unanswered`.
};

/// One node's part in one lease.
class LeaseHolder {
 public:
  LeaseHolder(NodeId self, const LeaseSettings& settings);

  /// @return what to do now. At most one read or write is outstanding at a time.
  /// @param wanted whether this node should hold the lease, by the current members.
  /// @param write_id a fresh identifier, used if a write follows.
  LeaseAction poll(MonotonicTime now, bool wanted, const std::string& write_id);

  /// The store's record was read.
  void on_read(MonotonicTime now, const VersionedLease& lease);

  /// The read got no answer; it is tried again after a while.
  void on_read_failed(MonotonicTime now);

  /// The write was answered. @param applied false when the version had moved on.
  void on_written(MonotonicTime now, bool applied, std::uint64_t version);

  /// The write got no answer. It may have taken effect, so the record is read before anything else.
  void on_write_unanswered(MonotonicTime now);

  /// Sets how often a node that does not hold the lease reads it. A long interval only delays that
  /// this node takes the lease over.
  void set_standby_interval(Duration interval) { standby_interval_ = interval; }

  /// Gives the lease up: no order may be sent from here on.
  void resign();

  /// @return the fence while this node may act, else nothing. Ask right before each order leaves.
  std::optional<Fence> authority(MonotonicTime now) const;

  /// @return the write to send after `LeaseAction::kWrite`; its version is the expected one.
  const VersionedLease& pending_write() const { return pending_; }

  /// @return the record as last seen in the store.
  const VersionedLease& last_seen() const { return seen_; }

 private:
  bool holds_seen_record() const;
  void prepare_write(MonotonicTime now, Fence epoch, const std::string& write_id);
  void confirm_write(MonotonicTime sent_at);

  NodeId self_;
  LeaseSettings settings_;
  VersionedLease seen_;
  bool seen_valid_ = false;
  MonotonicTime seen_changed_at_{};  ///< When this node first saw the current record.
  VersionedLease pending_;
  std::optional<MonotonicTime> unconfirmed_write_at_;  ///< Set while a write is not settled.
  bool call_pending_ = false;
  MonotonicTime next_poll_{};
  std::optional<Fence> epoch_;
  MonotonicTime valid_until_{};
  std::optional<Duration> standby_interval_;  ///< Unset: as often as the holder renews.
};

}  // namespace shuntbank
