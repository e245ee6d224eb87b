/// @file
/// Reports the tenants' usage per window while this node holds the lease. A report is recorded in
/// the store before it is sent, and only the recorded report is sent, so that retries and later
/// holders repeat it exactly.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/runtime.hpp"
#include "relay/duty_service.hpp"
#include "relay/lease_keeper.hpp"
#include "relay/relay_metrics.hpp"
#include "relay/usage_exchange.hpp"
#include "relay/usage_settings.hpp"
#include "store/object_store.hpp"

namespace shuntbank::relay {

/// One node's side of usage reporting.
class UsageReporter {
 public:
  /// All references outlive this. @param machine name of this machine in the reports.
  UsageReporter(Runtime& runtime, store::ObjectStore& store, LeaseKeeper& lease,
                DutyService& service, UsageExchange& exchange, RelayMetrics& metrics,
                const std::string& machine, const UsageSettings& settings);
  ~UsageReporter();
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

 private:
  /// Processing state of a window.
  enum class WindowState { kCounting, kRecording, kSending, kEnded };
  struct Window {
    WindowState state = WindowState::kCounting;
    bool call_pending = false;
    UsageReport report;
  };
  /// Last known content of a slot: a store object that holds the report of one window and is reused
  /// for later windows.
  struct Slot {
    std::uint64_t revision = 0;  ///< 0: no object yet.
    usage::WindowNumber window = 0;
    usage::TenantCounts counts;
  };

  void tick();
  void update_windows();
  void advance(usage::WindowNumber number, Window& window);
  void close(usage::WindowNumber number, Window& window);
  void record(usage::WindowNumber number, Window& window);
  void read_slot(usage::WindowNumber number);
  void write_slot(usage::WindowNumber number, const Window& window);
  void on_slot(usage::WindowNumber number, const store::StoredObject& object);
  void send(usage::WindowNumber number, Window& window);
  void on_sent(usage::WindowNumber number, DutyOutcome outcome);
  void finish(usage::WindowNumber number, const char* result);
  void clear_pending(usage::WindowNumber number);
  usage::UnixMs ms_since_end(usage::WindowNumber number) const;
  std::string slot_name(usage::WindowNumber number) const;

  Runtime& runtime;
  store::ObjectStore& store;
  LeaseKeeper& lease;
  DutyService& service;
  UsageExchange& exchange;
  RelayMetrics& metrics;
  std::string machine;
  UsageSettings settings;
  std::map<usage::WindowNumber, Window> windows;
  std::map<std::string, Slot> slots;
  std::optional<MonotonicTime> last_poll_at;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace shuntbank::relay
