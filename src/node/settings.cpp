#include "node/settings.hpp"

namespace shuntbank {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kMaxCount = 1'000'000;

void add_addresses(OptionSet& options, NodeSettings& settings) {
  options.add_text("name", settings.name, "Name of this node, unique in the cluster.");
  options.require("name");
  options.add_text("zone", settings.zone, "Zone of this node.");
  options.require("zone");
  options.add_text("region", settings.region, "Region of this node.");
  options.require("region");
  options.add_text("platform", settings.platform, "IP:PORT of the platform's object API.");
  options.require("platform");
  options.add_text("callers-listen", settings.callers_listen, "IP:PORT for callers; port 0: any.");
  options.add_text("operators-listen", settings.operators_listen,
                   "IP:PORT for operators, health and metrics; port 0: any.");
  options.add_text("cluster-listen", settings.cluster_listen,
                   "IP:PORT for other nodes, TCP and UDP; port 0: any.");
}

void add_limits(OptionSet& options, NodeSettings& settings) {
  options.add_byte_size("max-body", settings.max_body, 1024, 64UL << 20U,
                        "Largest request body of a caller.");
  options.add_unsigned("max-connections", settings.max_connections, 1, kMaxCount,
                       "Most connections of callers at once.");
  options.add_unsigned("max-json-depth", settings.max_json_depth, 4, 512,
                       "Deepest nesting of a caller's JSON.");
  options.add_duration("request-deadline", settings.request_deadline, seconds(1), hours(1),
                       "Longest time for a request, from its arrival.");
  options.add_duration("queue-deadline", settings.queue_deadline, milliseconds(10), minutes(10),
                       "Longest wait for an engine before a request is refused.");
  options.add_duration("engine-silence", settings.engine_silence, seconds(1), hours(1),
                       "Longest silence of an engine before its attempt counts as failed.");
  options.add_duration("caller-idle", settings.caller_idle, seconds(1), hours(1),
                       "Longest wait for a whole request on an open connection.");
  options.add_duration("slow-reader", settings.slow_reader, seconds(1), hours(1),
                       "Longest time that a caller may take nothing of its reply.");
}

void add_behaviour(OptionSet& options, NodeSettings& settings) {
  options.add_unsigned("max-attempts", settings.max_attempts, 1, 10,
                       "Most dispatches of one request.");
  options.add_number("retry-share", settings.retry_share, 0, 1,
                     "Retries allowed, as a share of requests.");
  options.add_unsigned("engine-window", settings.engine_window, 1, kMaxCount,
                       "Requests in flight to one engine, all nodes together.");
  options.add_unsigned("max-queue", settings.max_queue, 0, kMaxCount,
                       "Most requests that wait for an engine on this node, for each service.");
  options.add_duration("leave-grace", settings.leave_grace, Duration(0), minutes(10),
                       "After a signal to stop: time to go on taking requests while others learn.");
  options.add_duration("lease-length", settings.lease_length, seconds(1), minutes(5),
                       "Length of a controller lease.");
  options.add_duration("claim-retention", settings.claim_retention, seconds(10), hours(24),
                       "How long an idempotency key is remembered.");
  options.add_unsigned("seed", settings.seed, 0, UINT64_MAX,
                       "Seed of random choices; 0: from the system's generator.");
}

}  // namespace

OptionSet node_options(NodeSettings& settings) {
  OptionSet options("shuntbankd [options]");
  add_addresses(options, settings);
  add_limits(options, settings);
  add_behaviour(options, settings);
  return options;
}

}  // namespace shuntbank
