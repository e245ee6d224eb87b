#include "relay/usage_reporter.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

using nlohmann::json;

json to_json(const UsageReport& report) {
  json counts = json::object();
  for (const auto& [tenant, count] : report.counts) counts[tenant.value()] = count;
  return {{"window", report.window}, {"counts", std::move(counts)}};
}

/// @throw json::exception when the object is malformed.
UsageReport report_from(const json& content) {
  UsageReport report;
  report.window = content.at("window").get<usage::WindowNumber>();
  for (const auto& [tenant, count] : content.at("counts").items()) {
    report.counts[TenantName(tenant)] = count.get<std::uint64_t>();
  }
  return report;
}

}  // namespace

UsageReporter::UsageReporter(Runtime& own_runtime, store::ObjectStore& own_store,
                             LeaseKeeper& own_lease, DutyService& own_service,
                             UsageExchange& own_exchange, RelayMetrics& own_metrics,
                             const std::string& own_machine, const UsageSettings& own_settings)
    : runtime(own_runtime),
      store(own_store),
      lease(own_lease),
      service(own_service),
      exchange(own_exchange),
      metrics(own_metrics),
      machine(own_machine),
      settings(own_settings) {
  this->lease.on_tick([this, living = this->alive] {
    if (*living) this->tick();
  });
}

UsageReporter::~UsageReporter() {
  *this->alive = false;
}

usage::UnixMs UsageReporter::ms_since_end(usage::WindowNumber number) const {
  return this->exchange.agreed_now() - this->exchange.window_clock().end(number);
}

std::string UsageReporter::slot_name(usage::WindowNumber number) const {
  return "slot-" + std::to_string(number % this->settings.record_slots);
}

void UsageReporter::tick() {
  const MonotonicTime now = this->runtime.now();
  if (!this->last_poll_at || now - *this->last_poll_at >= this->settings.poll_interval) {
    this->last_poll_at = now;
    this->exchange.poll_nodes();
  }
  if (this->lease.held_for() < this->settings.takeover_delay) {
    // Cached store state is stale after a change of holder.
    this->slots.clear();
    this->windows.clear();
    return;
  }
  this->update_windows();
  // Ended windows stay in the map until the next tick, so iterators remain valid.
  for (auto& [number, window] : this->windows) {
    if (!window.call_pending) this->advance(number, window);
  }
}

void UsageReporter::update_windows() {
  const usage::WindowClock& clock = this->exchange.window_clock();
  const usage::UnixMs now = this->exchange.agreed_now();
  const usage::WindowNumber current = clock.at(now);
  const usage::WindowNumber oldest = clock.at(now - whole_ms(this->settings.retention)) + 1;
  this->windows.erase(this->windows.begin(), this->windows.lower_bound(oldest));
  for (auto number = oldest; number < current; ++number) this->windows.try_emplace(number);
}

void UsageReporter::advance(usage::WindowNumber number, Window& window) {
  switch (window.state) {
    case WindowState::kCounting:
      return this->close(number, window);
    case WindowState::kRecording:
      return this->record(number, window);
    case WindowState::kSending:
      return this->send(number, window);
    case WindowState::kEnded:
      return;
  }
}

/// Closes the window once all nodes have reported or the wait limit is reached.
void UsageReporter::close(usage::WindowNumber number, Window& window) {
  const MonotonicTime now = this->runtime.now();
  const usage::UsageLedger& ledger = this->exchange.ledger();
  const double wait_limit_ms = to_ms(this->settings.report_deadline) * this->settings.wait_fraction;
  const bool complete = ledger.complete(now, number);
  if (!complete && static_cast<double>(this->ms_since_end(number)) < wait_limit_ms) return;
  window.report = {number, ledger.sum(number)};
  window.state = WindowState::kRecording;
  log_event(LogArea::kControl, LogLevel::kInfo, "usage_closed",
            {{"window", number},
             {"complete", complete},
             {"covered", ledger.covered(number)},
             {"nodes", ledger.live_nodes(now)},
             {"tenants", window.report.counts.size()},
             {"requests", usage::total(window.report.counts)},
             {"since_end_ms", this->ms_since_end(number)}});
  this->record(number, window);
}

void UsageReporter::record(usage::WindowNumber number, Window& window) {
  window.call_pending = true;
  const auto slot = this->slots.find(this->slot_name(number));
  if (slot == this->slots.end()) return this->read_slot(number);
  if (slot->second.window == number) {
    window.report.counts = slot->second.counts;
    window.state = WindowState::kSending;
    return this->send(number, window);
  }
  if (slot->second.window > number) return this->finish(number, "overtaken");
  if (!this->exchange.ledger().covered(number)) return this->finish(number, "not_covered");
  this->write_slot(number, window);
}

void UsageReporter::read_slot(usage::WindowNumber number) {
  const std::string name = this->slot_name(number);
  this->store.read(this->settings.record_kind, name, this->settings.call_timeout,
                   [this, living = this->alive, number,
                    name](const tl::expected<store::StoredObject, store::StoreError>& read) {
                     if (!*living) return;
                     if (read) return this->on_slot(number, *read);
                     if (read.error() == store::StoreError::kMissing) this->slots[name] = Slot();
                     this->clear_pending(number);
                   });
}

void UsageReporter::on_slot(usage::WindowNumber number, const store::StoredObject& object) {
  Slot slot{object.revision, 0, {}};
  try {
    UsageReport report = report_from(object.content);
    slot.window = report.window;
    slot.counts = std::move(report.counts);
  } catch (const json::exception& error) {
    log_event(LogArea::kPlatform, LogLevel::kError, "object_malformed",
              {{"name", object.name}, {"why", std::string(error.what())}});
  }
  this->slots[this->slot_name(number)] = std::move(slot);
  this->clear_pending(number);
}

/// Writes only if the slot's revision is unchanged, so that a window has at most one report.
void UsageReporter::write_slot(usage::WindowNumber number, const Window& window) {
  const std::string name = this->slot_name(number);
  const std::uint64_t revision = this->slots[name].revision;
  const json content = to_json(window.report);
  auto written = [this, living = this->alive, number,
                  name](const tl::expected<store::StoredObject, store::StoreError>& result) {
    if (!*living) return;
    if (result) return this->on_slot(number, *result);
    // The slot may have been written by this or another node; read it again.
    if (result.error() != store::StoreError::kNotDone) this->slots.erase(name);
    this->clear_pending(number);
  };
  if (revision == 0) {
    this->store.create(this->settings.record_kind, name, content, this->settings.call_timeout,
                       written);
  } else {
    this->store.replace(this->settings.record_kind, name, revision, content,
                        this->settings.call_timeout, written);
  }
}

void UsageReporter::clear_pending(usage::WindowNumber number) {
  const auto window = this->windows.find(number);
  if (window != this->windows.end()) window->second.call_pending = false;
}

void UsageReporter::send(usage::WindowNumber number, Window& window) {
  const auto fence = this->lease.authority();
  window.call_pending = fence.has_value();
  if (!fence) return;
  this->service.report_usage({this->machine, *fence}, window.report, this->settings.call_timeout,
                             [this, living = this->alive, number](DutyOutcome outcome) {
                               if (*living) this->on_sent(number, outcome);
                             });
}

void UsageReporter::on_sent(usage::WindowNumber number, DutyOutcome outcome) {
  this->clear_pending(number);
  this->metrics.count_duty_call("usage", to_text(outcome));
  log_event(LogArea::kControl, LogLevel::kInfo, "usage_sent",
            {{"window", number},
             {"outcome", to_text(outcome)},
             {"since_end_ms", this->ms_since_end(number)}});
  // A newer holder with a higher fence has reported.
  if (outcome == DutyOutcome::kRefused) return this->lease.resign();
  if (outcome == DutyOutcome::kDone) this->finish(number, "reported");
}

void UsageReporter::finish(usage::WindowNumber number, const char* result) {
  const auto window = this->windows.find(number);
  if (window == this->windows.end()) return;
  window->second.state = WindowState::kEnded;
  window->second.call_pending = false;
  this->metrics.count_usage_window(result);
  log_event(LogArea::kControl, LogLevel::kInfo, "usage_window_ended",
            {{"window", number},
             {"result", result},
             {"requests", usage::total(window->second.report.counts)}});
}

}  // namespace shuntbank::relay
