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

/// @throw json::exception when the object is none of this product's.
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

usage::UnixMs UsageReporter::since_end(usage::WindowNumber number) const {
  return this->exchange.agreed_now() - this->exchange.windows().end(number);
}

std::string UsageReporter::slot_name(usage::WindowNumber number) const {
  return "slot-" + std::to_string(number % this->settings.record_slots);
}

void UsageReporter::tick() {
  const MonotonicTime now = this->runtime.now();
  if (!this->called_at || now - *this->called_at >= this->settings.call_every) {
    this->called_at = now;
    this->exchange.call();
  }
  if (this->lease.held_for() < this->settings.settle) {
    // What was known of the store is from an earlier time as the holder.
    this->slots.clear();
    this->windows.clear();
    return;
  }
  this->take_up_windows();
  // Steps end windows, which changes the map only at the next call.
  for (auto& [number, window] : this->windows) {
    if (!window.busy) this->advance(number, window);
  }
}

void UsageReporter::take_up_windows() {
  const usage::WindowClock& clock = this->exchange.windows();
  const usage::UnixMs now = this->exchange.agreed_now();
  const usage::WindowNumber current = clock.at(now);
  const usage::WindowNumber oldest = clock.at(now - whole_ms(this->settings.kept)) + 1;
  this->windows.erase(this->windows.begin(), this->windows.lower_bound(oldest));
  for (auto number = oldest; number < current; ++number) this->windows.try_emplace(number);
}

void UsageReporter::advance(usage::WindowNumber number, Window& window) {
  switch (window.step) {
    case Step::kCounting:
      return this->close(number, window);
    case Step::kRecording:
      return this->record(number, window);
    case Step::kSending:
      return this->send(number, window);
    case Step::kEnded:
      return;
  }
}

/// Takes what has been counted, once all have told or the report would be late.
void UsageReporter::close(usage::WindowNumber number, Window& window) {
  const MonotonicTime now = this->runtime.now();
  const usage::UsageLedger& ledger = this->exchange.ledger();
  const double patience = to_ms(this->settings.late) * this->settings.patience_share;
  const bool complete = ledger.complete(now, number);
  if (!complete && static_cast<double>(this->since_end(number)) < patience) return;
  window.report = {number, ledger.sum(number)};
  window.step = Step::kRecording;
  log_event(LogArea::kControl, LogLevel::kInfo, "usage_closed",
            {{"window", number},
             {"complete", complete},
             {"covered", ledger.covered(number)},
             {"nodes", ledger.live_nodes(now)},
             {"tenants", window.report.counts.size()},
             {"requests", usage::total(window.report.counts)},
             {"since_end_ms", this->since_end(number)}});
  this->record(number, window);
}

void UsageReporter::record(usage::WindowNumber number, Window& window) {
  window.busy = true;
  const auto slot = this->slots.find(this->slot_name(number));
  if (slot == this->slots.end()) return this->read_slot(number);
  if (slot->second.window == number) {
    window.report.counts = slot->second.counts;
    window.step = Step::kSending;
    return this->send(number, window);
  }
  if (slot->second.window > number) return this->end(number, "overtaken");
  if (!this->exchange.ledger().covered(number)) return this->end(number, "not_covered");
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
                     this->set_idle(number);
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
  this->set_idle(number);
}

/// Only one report of a window is ever written: under the revision of what was there before.
void UsageReporter::write_slot(usage::WindowNumber number, const Window& window) {
  const std::string name = this->slot_name(number);
  const std::uint64_t revision = this->slots[name].revision;
  const json content = to_json(window.report);
  auto written = [this, living = this->alive, number,
                  name](const tl::expected<store::StoredObject, store::StoreError>& done) {
    if (!*living) return;
    if (done) return this->on_slot(number, *done);
    // It may have been written, by this node or another: the slot is read again.
    if (done.error() != store::StoreError::kNotDone) this->slots.erase(name);
    this->set_idle(number);
  };
  if (revision == 0) {
    this->store.create(this->settings.record_kind, name, content, this->settings.call_timeout,
                       written);
  } else {
    this->store.replace(this->settings.record_kind, name, revision, content,
                        this->settings.call_timeout, written);
  }
}

void UsageReporter::set_idle(usage::WindowNumber number) {
  const auto window = this->windows.find(number);
  if (window != this->windows.end()) window->second.busy = false;
}

void UsageReporter::send(usage::WindowNumber number, Window& window) {
  const auto fence = this->lease.authority();
  window.busy = fence.has_value();
  if (!fence) return;
  this->service.report_usage({this->machine, *fence}, window.report, this->settings.call_timeout,
                             [this, living = this->alive, number](DutyOutcome outcome) {
                               if (*living) this->on_sent(number, outcome);
                             });
}

void UsageReporter::on_sent(usage::WindowNumber number, DutyOutcome outcome) {
  this->set_idle(number);
  this->metrics.count_duty_call("usage", to_text(outcome));
  log_event(LogArea::kControl, LogLevel::kInfo, "usage_sent",
            {{"window", number},
             {"outcome", to_text(outcome)},
             {"since_end_ms", this->since_end(number)}});
  // A newer holder has reported: its fence was seen.
  if (outcome == DutyOutcome::kRefused) return this->lease.resign();
  if (outcome == DutyOutcome::kDone) this->end(number, "reported");
}

void UsageReporter::end(usage::WindowNumber number, const char* result) {
  const auto window = this->windows.find(number);
  if (window == this->windows.end()) return;
  window->second.step = Step::kEnded;
  window->second.busy = false;
  this->metrics.count_usage_window(result);
  log_event(LogArea::kControl, LogLevel::kInfo, "usage_window_ended",
            {{"window", number},
             {"result", result},
             {"requests", usage::total(window->second.report.counts)}});
}

}  // namespace shuntbank::relay
