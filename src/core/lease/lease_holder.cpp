#include "core/lease/lease_holder.hpp"

#include <utility>

namespace shuntbank {

LeaseHolder::LeaseHolder(NodeId self, const LeaseSettings& settings)
    : self_(std::move(self)), settings_(settings) {}

LeaseAction LeaseHolder::poll(MonotonicTime now, bool wanted, const std::string& write_id) {
  if (busy_ || now < next_poll_) return LeaseAction::kNothing;
  const bool holding = epoch_.has_value() && holds_seen_record();
  if (!wanted && !holding) return LeaseAction::kNothing;
  if (!seen_known_ || write_sent_) {
    busy_ = true;
    return LeaseAction::kRead;
  }
  if (holding && wanted) {
    prepare_write(now, *epoch_, write_id);
    return LeaseAction::kWrite;
  }
  if (!wanted) return LeaseAction::kNothing;
  // Someone else's record, or one of ours from before a pause: wait it out from when it was first
  // seen unchanged, because its writer counts from before that moment.
  const bool expired = seen_.version == 0 || now >= seen_changed_at_ + seen_.record.length;
  if (!expired) {
    busy_ = true;
    return LeaseAction::kRead;
  }
  prepare_write(now, seen_.record.epoch + 1, write_id);
  return LeaseAction::kWrite;
}

bool LeaseHolder::holds_seen_record() const {
  return seen_.record.holder == self_ && epoch_ == seen_.record.epoch;
}

void LeaseHolder::prepare_write(MonotonicTime now, Fence epoch, const std::string& write_id) {
  pending_ = {seen_.version, {self_, epoch, write_id, settings_.length}};
  write_sent_ = now;
  busy_ = true;
}

void LeaseHolder::on_read(MonotonicTime now, const VersionedLease& lease) {
  busy_ = false;
  const bool settles = write_sent_ && lease.record.write_id == pending_.record.write_id;
  const bool changed = !seen_known_ || lease.version != seen_.version;
  if (changed) seen_changed_at_ = now;
  seen_ = lease;
  seen_known_ = true;
  if (settles) {
    adopt_write(*write_sent_);
  } else if (changed && epoch_ && !holds_seen_record()) {
    resign();
  }
  write_sent_.reset();
  const bool standby = !(epoch_ && holds_seen_record());
  next_poll_ =
      now + (standby ? standby_every_.value_or(settings_.renew_every) : settings_.renew_every);
}

void LeaseHolder::on_read_failed(MonotonicTime now) {
  busy_ = false;
  next_poll_ = now + settings_.renew_every;
}

void LeaseHolder::on_written(MonotonicTime now, bool applied, std::uint64_t version) {
  busy_ = false;
  next_poll_ = now + settings_.renew_every;
  if (!applied) {
    // The record is not what was believed. Read it before the next decision.
    seen_known_ = false;
    write_sent_.reset();
    next_poll_ = now;
    return;
  }
  seen_ = {version, pending_.record};
  seen_changed_at_ = now;
  adopt_write(*write_sent_);
  write_sent_.reset();
}

void LeaseHolder::adopt_write(MonotonicTime sent) {
  epoch_ = pending_.record.epoch;
  // Counted from the sending, which is earlier than the moment the store applied it.
  act_until_ = sent + settings_.length - settings_.margin;
}

void LeaseHolder::on_write_unanswered(MonotonicTime now) {
  busy_ = false;
  next_poll_ = now + settings_.renew_every;
}

void LeaseHolder::resign() {
  epoch_.reset();
}

std::optional<Fence> LeaseHolder::authority(MonotonicTime now) const {
  if (!epoch_ || now >= act_until_) return std::nullopt;
  return epoch_;
}

}  // namespace shuntbank
