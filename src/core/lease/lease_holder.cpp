#include "core/lease/lease_holder.hpp"

#include <utility>

namespace shuntbank {

LeaseHolder::LeaseHolder(NodeId self, const LeaseSettings& settings)
    : self_(std::move(self)), settings_(settings) {}

LeaseAction LeaseHolder::poll(MonotonicTime now, bool wanted, const std::string& write_id) {
  if (call_pending_ || now < next_poll_) return LeaseAction::kNothing;
  const bool holding = epoch_.has_value() && last_seen_is_own();
  if (!wanted && !holding) return LeaseAction::kNothing;
  if (!seen_valid_ || unconfirmed_write_at_) {
    call_pending_ = true;
    return LeaseAction::kRead;
  }
  if (holding && wanted) {
    prepare_write(now, *epoch_, write_id);
    return LeaseAction::kWrite;
  }
  if (!wanted) return LeaseAction::kNothing;
  // A record of another node, or an earlier one of this node: it has expired once its duration has
  // passed since it was first seen, as its writer counts from an earlier moment.
  const bool expired = seen_.version == 0 || now >= seen_changed_at_ + seen_.record.duration;
  if (!expired) {
    call_pending_ = true;
    return LeaseAction::kRead;
  }
  prepare_write(now, seen_.record.epoch + 1, write_id);
  return LeaseAction::kWrite;
}

bool LeaseHolder::last_seen_is_own() const {
  return seen_.record.holder == self_ && epoch_ == seen_.record.epoch;
}

void LeaseHolder::prepare_write(MonotonicTime now, Fence epoch, const std::string& write_id) {
  pending_write_ = {seen_.version, {self_, epoch, write_id, settings_.duration}};
  unconfirmed_write_at_ = now;
  call_pending_ = true;
}

void LeaseHolder::on_read(MonotonicTime now, const VersionedLease& lease) {
  call_pending_ = false;
  const bool confirmed =
      unconfirmed_write_at_ && lease.record.write_id == pending_write_.record.write_id;
  const bool changed = !seen_valid_ || lease.version != seen_.version;
  if (changed) seen_changed_at_ = now;
  seen_ = lease;
  seen_valid_ = true;
  if (confirmed) {
    confirm_write(*unconfirmed_write_at_);
  } else if (changed && epoch_ && !last_seen_is_own()) {
    resign();
  }
  unconfirmed_write_at_.reset();
  const bool on_standby = !(epoch_ && last_seen_is_own());
  next_poll_ = now + (on_standby ? standby_interval_.value_or(settings_.renew_interval)
                                 : settings_.renew_interval);
}

void LeaseHolder::on_read_failed(MonotonicTime now) {
  call_pending_ = false;
  next_poll_ = now + settings_.renew_interval;
}

void LeaseHolder::on_written(MonotonicTime now, bool applied, std::uint64_t version) {
  call_pending_ = false;
  next_poll_ = now + settings_.renew_interval;
  if (!applied) {
    // The stored record has changed: read it before the next decision.
    seen_valid_ = false;
    unconfirmed_write_at_.reset();
    next_poll_ = now;
    return;
  }
  seen_ = {version, pending_write_.record};
  seen_changed_at_ = now;
  confirm_write(*unconfirmed_write_at_);
  unconfirmed_write_at_.reset();
}

void LeaseHolder::confirm_write(MonotonicTime sent_at) {
  epoch_ = pending_write_.record.epoch;
  // Counted from sending, which is before the store applied the write.
  valid_until_ = sent_at + settings_.duration - settings_.safety_margin;
}

void LeaseHolder::on_write_unanswered(MonotonicTime now) {
  call_pending_ = false;
  next_poll_ = now + settings_.renew_interval;
}

void LeaseHolder::resign() {
  epoch_.reset();
}

std::optional<Fence> LeaseHolder::authority(MonotonicTime now) const {
  if (!epoch_ || now >= valid_until_) return std::nullopt;
  return epoch_;
}

}  // namespace shuntbank
