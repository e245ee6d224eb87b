/// @file
/// Tunables of the report of usage, in one place.
#pragma once

#include <string>

#include "common/time.hpp"
#include "core/usage/true_time.hpp"
#include "core/usage/usage_ledger.hpp"

namespace shuntbank::relay {

/// How usage is counted, gathered and reported.
struct UsageSettings {
  Duration window_length = Duration::zero();  ///< As the operator says; zero: nothing is reported.
  Duration report_deadline =
      std::chrono::seconds(10);  ///< After a window's end: when its report is due.
  /// Between two questions of the reporter. What a node has counted since is lost with its machine.
  Duration poll_interval = std::chrono::seconds(1);
  /// Nodes that are told besides the reporter: those that stand by for it.
  std::size_t backup_nodes = 2;
  /// Beginnings are remembered for so long: a report can still be made that much later.
  Duration retention = std::chrono::seconds(30);
  /// A window is told again for so long after its end. Three questions: two may be lost.
  Duration resend_period = std::chrono::seconds(3);
  /// The answer of a plain request comes so much later than the request began to run.
  Duration counting_lag = std::chrono::milliseconds(250);
  /// A new reporter waits so long before its first report: two questions are answered by then.
  Duration takeover_delay = std::chrono::milliseconds(2200);
  /// Of `late`: when the reporter waits no longer for nodes that do not tell.
  double wait_fraction = 0.6;
  Duration call_timeout = std::chrono::milliseconds(1500);
  std::string record_kind = "shuntbank-usage";  ///< Of the objects that hold what is reported.
  /// Objects in turn, each for every so manieth window. More windows than are ever open at once.
  std::uint64_t record_slots = 12;
  usage::TrueTimeSettings true_time;
};

}  // namespace shuntbank::relay
