#include "relay/usage_exchange.hpp"

#include <algorithm>

#include "common/hash.hpp"
#include "common/log.hpp"
#include "relay/malformed_message.hpp"

namespace shuntbank::relay {
namespace {

constexpr Duration kClockTick = std::chrono::seconds(1);

usage::UnixMs time_of_day(const Runtime& runtime) {
  return static_cast<usage::UnixMs>(runtime.unix_milliseconds());
}

usage::UsageLedgerSettings ledger_settings(const UsageSettings& settings,
                                           const usage::WindowClock& clock) {
  usage::UsageLedgerSettings ledger;
  ledger.window_clock = clock;
  ledger.retained_windows =
      static_cast<usage::WindowNumber>(whole_ms(settings.kept) / clock.length_ms) + 2;
  return ledger;
}

}  // namespace

UsageExchange::UsageExchange(Runtime& own_runtime, PeerTransport& own_transport,
                             const PeerDirectory& own_peers, std::uint64_t own_boot,
                             bool system_starts, const UsageSettings& own_settings)
    : runtime(own_runtime),
      transport(own_transport),
      peers(own_peers),
      boot(own_boot),
      first_start(system_starts),
      settings(own_settings),
      clock{whole_ms(own_settings.window)},
      started_at(own_runtime.now()),
      time(own_settings.time, own_runtime.now(), time_of_day(own_runtime)),
      counter(own_settings.kept),
      told(ledger_settings(own_settings, this->clock)),
      clock_tick(
          std::make_unique<Periodic>(own_runtime, kClockTick, [this] { this->look_at_clock(); })) {}

void UsageExchange::look_at_clock() {
  this->counter.expire(this->runtime.now());
  const usage::UnixMs jumped = this->time.update(this->runtime.now(), time_of_day(this->runtime));
  if (jumped == 0) return;
  log_event(LogArea::kProcess, LogLevel::kWarning, "clock_jumped",
            {{"by_ms", jumped}, {"corrected_ms", this->time.correction()}});
}

usage::UnixMs UsageExchange::agreed_now() const {
  return this->time.corrected_time(this->runtime.now());
}

usage::UnixMs UsageExchange::counting_since() const {
  return this->first_start ? 0 : this->time.corrected_time(this->started_at);
}

void UsageExchange::on_began(const TenantName& tenant) {
  this->counter.on_request_started(this->runtime.now(), tenant);
}

void UsageExchange::on_message(std::string_view bytes) {
  if (is_usage_call(bytes)) {
    const auto call = decode_usage_call(bytes);
    return call ? this->on_call(*call) : log_malformed_message("usage", call.error());
  }
  const auto more = decode_told_usage(bytes);
  return more ? this->on_told(*more) : log_malformed_message("usage", more.error());
}

void UsageExchange::call() {
  const MonotonicTime now = this->runtime.now();
  const std::string bytes =
      encode(UsageCall{this->peers.own_name(), this->boot, this->time.apply_median(now)});
  for (const auto& [name, record] : this->peers.nodes()) {
    if (name != this->peers.own_name()) this->transport.send(record.address, bytes);
  }
  const bool first = this->reporter != this->peers.own_name();
  this->reporter = this->peers.own_name();
  this->reporter_boot = this->boot;
  this->tell(first);
}

void UsageExchange::on_call(const UsageCall& call) {
  if (!this->peers.is_peer(call.reporter)) return;
  if (call.agreed) this->time.on_true_time(this->runtime.now(), *call.agreed);
  const bool first = this->reporter != call.reporter || this->reporter_boot != call.boot;
  this->reporter = call.reporter;
  this->reporter_boot = call.boot;
  this->tell(first);
}

void UsageExchange::on_told(const usage::UsageCounts& more) {
  if (!this->peers.is_peer(more.node)) return;
  const MonotonicTime now = this->runtime.now();
  this->time.on_peer_clock(now, more.node, more.clock);
  this->told.on_counts(now, this->clock.at(this->agreed_now()), more);
}

void UsageExchange::tell_last() {
  if (!this->reporter.empty()) this->tell(false);
}

/// The reporter, and the first few nodes in the order in which they stand by.
std::vector<NodeId> UsageExchange::listeners() const {
  std::vector<std::pair<std::uint64_t, NodeId>> order;
  for (const auto& [name, record] : this->peers.nodes()) {
    if (name != this->reporter) order.emplace_back(hash64(name.value()), name);
  }
  const std::size_t backups = std::min(this->settings.backups, order.size());
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(backups);
  std::partial_sort(order.begin(), end, order.end());
  std::vector<NodeId> listeners{this->reporter};
  for (auto it = order.begin(); it != end; ++it) listeners.push_back(it->second);
  return listeners;
}

usage::WindowNumber UsageExchange::oldest_told(bool all) const {
  const Duration back = all ? this->settings.kept : this->settings.told_after_end;
  const usage::UnixMs since = std::max(this->agreed_now() - whole_ms(back), this->counting_since());
  return this->clock.at(since);
}

void UsageExchange::tell(bool all) {
  const auto targets = this->listeners();
  ++this->tellings;
  const usage::WindowNumber newest = this->clock.at(this->agreed_now());
  for (auto window = this->oldest_told(all); window <= newest; ++window) {
    this->tell_window(window, targets);
  }
}

void UsageExchange::tell_window(usage::WindowNumber window, const std::vector<NodeId>& targets) {
  const MonotonicTime now = this->runtime.now();
  usage::UsageCounts own;
  own.node = this->peers.own_name();
  own.boot = this->boot;
  own.sequence = this->tellings;
  own.clock = this->time.local_time(now);
  own.counted_until = this->agreed_now() - whole_ms(this->settings.counted_late);
  own.counting_since = this->counting_since();
  own.window = window;
  own.counts = this->counter.counts(
      this->clock, window, [this](MonotonicTime at) { return this->time.corrected_time(at); });
  const auto messages = encode_parts(own);
  for (const NodeId& target : targets) {
    if (target == this->peers.own_name()) {
      this->told.on_counts(now, this->clock.at(this->agreed_now()), own);
      continue;
    }
    const PeerRecord* record = this->peers.find(target);
    if (record == nullptr) continue;
    for (const std::string& message : messages) this->transport.send(record->address, message);
  }
}

}  // namespace shuntbank::relay
