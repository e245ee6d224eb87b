/// @file
/// Settings of usage reporting.
#pragma once

#include <string>

#include "common/time.hpp"
#include "core/usage/true_time.hpp"
#include "core/usage/usage_ledger.hpp"

namespace shuntbank::relay {

/// Settings of how usage is counted, collected and reported.
struct UsageSettings {
  Duration window_length = Duration::zero();            ///< Set by the operator; zero: no reports.
  Duration report_deadline = std::chrono::seconds(10);  ///< After a window's end.
  /// Interval at which the reporter polls the nodes. Counts since the last poll are lost if a
  /// machine fails.
  Duration poll_interval = std::chrono::seconds(1);
  /// Number of standbys that receive counts in addition to the reporter.
  std::size_t backup_nodes = 2;
  /// How long request starts are retained; limits how late a report can be made.
  Duration retention = std::chrono::seconds(30);
  /// How long the counts of a window are resent after its end; covers three polls.
  Duration resend_period = std::chrono::seconds(3);
  /// Maximum delay between the start of a request and its counting.
  Duration counting_lag = std::chrono::milliseconds(250);
  /// Delay before a new reporter's first report; covers two polls.
  Duration takeover_delay = std::chrono::milliseconds(2200);
  /// Fraction of `report_deadline` after which the reporter stops waiting for silent nodes.
  double wait_fraction = 0.6;
  Duration call_timeout = std::chrono::milliseconds(1500);
  std::string record_kind = "shuntbank-usage";  ///< Kind of the store objects with the reports.
  /// Number of store objects that windows use in rotation; exceeds the number of open windows.
  std::uint64_t record_slots = 12;
  usage::TrueTimeSettings true_time;
};

}  // namespace shuntbank::relay
