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
      static_cast<usage::WindowNumber>(whole_ms(settings.retention) / clock.length_ms) + 2;
  return ledger;
}

}  // namespace

UsageExchange::UsageExchange(Runtime& own_runtime, PeerTransport& own_transport,
                             const PeerDirectory& own_peers, std::uint64_t own_boot,
                             bool own_bootstrap, const UsageSettings& own_settings)
    : runtime(own_runtime),
      transport(own_transport),
      peers(own_peers),
      boot(own_boot),
      bootstrap(own_bootstrap),
      settings(own_settings),
      clock{whole_ms(own_settings.window_length)},
      started_at(own_runtime.now()),
      true_time(own_settings.true_time, own_runtime.now(), time_of_day(own_runtime)),
      counter(own_settings.retention),
      usage_ledger(ledger_settings(own_settings, this->clock)),
      clock_tick(
          std::make_unique<Periodic>(own_runtime, kClockTick, [this] { this->check_clock(); })) {}

void UsageExchange::check_clock() {
  this->counter.expire(this->runtime.now());
  const usage::UnixMs jump_ms =
      this->true_time.update(this->runtime.now(), time_of_day(this->runtime));
  if (jump_ms == 0) return;
  log_event(LogArea::kProcess, LogLevel::kWarning, "clock_jumped",
            {{"by_ms", jump_ms}, {"corrected_ms", this->true_time.correction()}});
}

usage::UnixMs UsageExchange::agreed_now() const {
  return this->true_time.corrected_time(this->runtime.now());
}

usage::UnixMs UsageExchange::counting_since() const {
  return this->bootstrap ? 0 : this->true_time.corrected_time(this->started_at);
}

void UsageExchange::on_request_started(const TenantName& tenant) {
  this->counter.on_request_started(this->runtime.now(), tenant);
}

void UsageExchange::on_message(std::string_view bytes) {
  if (is_usage_call(bytes)) {
    const auto call = decode_usage_call(bytes);
    return call ? this->on_call(*call) : log_malformed_message("usage", call.error());
  }
  const auto message = decode_usage_counts(bytes);
  return message ? this->on_counts(*message) : log_malformed_message("usage", message.error());
}

void UsageExchange::poll_nodes() {
  const MonotonicTime now = this->runtime.now();
  const std::string bytes =
      encode(UsageCall{this->peers.own_name(), this->boot, this->true_time.apply_median(now)});
  for (const auto& [name, record] : this->peers.nodes()) {
    if (name != this->peers.own_name()) this->transport.send(record.address, bytes);
  }
  const bool reporter_changed = this->reporter != this->peers.own_name();
  this->reporter = this->peers.own_name();
  this->reporter_boot = this->boot;
  this->send_counts(reporter_changed);
}

void UsageExchange::on_call(const UsageCall& call) {
  if (!this->peers.is_peer(call.reporter)) return;
  if (call.true_time) this->true_time.on_true_time(this->runtime.now(), *call.true_time);
  const bool reporter_changed = this->reporter != call.reporter || this->reporter_boot != call.boot;
  this->reporter = call.reporter;
  this->reporter_boot = call.boot;
  this->send_counts(reporter_changed);
}

void UsageExchange::on_counts(const usage::UsageCounts& message) {
  if (!this->peers.is_peer(message.node)) return;
  const MonotonicTime now = this->runtime.now();
  this->true_time.on_peer_clock(now, message.node, message.clock);
  this->usage_ledger.on_counts(now, this->clock.at(this->agreed_now()), message);
}

void UsageExchange::send_final_counts() {
  if (!this->reporter.empty()) this->send_counts(false);
}

/// The reporter and its first standbys.
std::vector<NodeId> UsageExchange::recipients() const {
  std::vector<std::pair<std::uint64_t, NodeId>> order;
  for (const auto& [name, record] : this->peers.nodes()) {
    if (name != this->reporter) order.emplace_back(hash64(name.value()), name);
  }
  const std::size_t backup_count = std::min(this->settings.backup_nodes, order.size());
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(backup_count);
  std::partial_sort(order.begin(), end, order.end());
  std::vector<NodeId> recipients{this->reporter};
  for (auto it = order.begin(); it != end; ++it) recipients.push_back(it->second);
  return recipients;
}

usage::WindowNumber UsageExchange::oldest_window_to_send(bool all_windows) const {
  const Duration period = all_windows ? this->settings.retention : this->settings.resend_period;
  const usage::UnixMs since =
      std::max(this->agreed_now() - whole_ms(period), this->counting_since());
  return this->clock.at(since);
}

void UsageExchange::send_counts(bool all_windows) {
  const auto targets = this->recipients();
  ++this->send_sequence;
  const usage::WindowNumber newest = this->clock.at(this->agreed_now());
  for (auto window = this->oldest_window_to_send(all_windows); window <= newest; ++window) {
    this->send_window(window, targets);
  }
}

void UsageExchange::send_window(usage::WindowNumber window, const std::vector<NodeId>& targets) {
  const MonotonicTime now = this->runtime.now();
  usage::UsageCounts own;
  own.node = this->peers.own_name();
  own.boot = this->boot;
  own.sequence = this->send_sequence;
  own.clock = this->true_time.local_time(now);
  own.counted_until = this->agreed_now() - whole_ms(this->settings.counting_lag);
  own.counting_since = this->counting_since();
  own.window = window;
  own.counts = this->counter.counts(
      this->clock, window, [this](MonotonicTime at) { return this->true_time.corrected_time(at); });
  const auto messages = encode_parts(own);
  for (const NodeId& target : targets) {
    if (target == this->peers.own_name()) {
      this->usage_ledger.on_counts(now, this->clock.at(this->agreed_now()), own);
      continue;
    }
    const PeerRecord* record = this->peers.find(target);
    if (record == nullptr) continue;
    for (const std::string& message : messages) this->transport.send(record->address, message);
  }
}

}  // namespace shuntbank::relay
