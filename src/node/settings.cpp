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
  options.add_byte_size("max-body", settings.max_body_bytes, 1024, 64UL << 20U,
                        "Maximum size of a caller's request body.");
  options.add_unsigned("max-connections", settings.max_connections, 1, kMaxCount,
                       "Maximum number of concurrent caller connections.");
  options.add_unsigned("max-json-depth", settings.max_json_depth, 4, 512,
                       "Maximum nesting depth of a caller's JSON.");
  options.add_duration("request-deadline", settings.request_timeout, seconds(1), hours(1),
                       "Maximum time for a request, from its arrival.");
  options.add_duration("queue-deadline", settings.queue_timeout, milliseconds(10), minutes(10),
                       "Maximum wait for an engine before a request is refused.");
  options.add_duration("engine-silence", settings.engine_idle_timeout, seconds(1), hours(1),
                       "Maximum idle time of an engine before the attempt counts as failed.");
  options.add_duration("caller-idle", settings.caller_idle_timeout, seconds(1), hours(1),
                       "Maximum wait for a complete request on an open connection.");
  options.add_duration("slow-reader", settings.caller_write_timeout, seconds(1), hours(1),
                       "Maximum time that a caller may read nothing of its reply.");
}

void add_behaviour(OptionSet& options, NodeSettings& settings) {
  options.add_unsigned("max-attempts", settings.max_attempts, 1, 10,
                       "Maximum number of dispatches of one request.");
  options.add_number("retry-share", settings.retry_budget_ratio, 0, 1,
                     "Maximum retries, as a fraction of requests.");
  options.add_unsigned("engine-window", settings.max_in_flight_per_engine, 1, kMaxCount,
                       "Maximum requests in flight to one engine from all nodes.");
  options.add_unsigned("max-queue", settings.max_queue_length, 0, kMaxCount,
                       "Maximum number of queued requests on this node, per service.");
  options.add_duration("leave-grace", settings.leave_grace, Duration(0), minutes(10),
                       "Time after a stop signal to keep accepting requests until peers know.");
  options.add_duration("lease-length", settings.lease_duration, seconds(1), minutes(5),
                       "Duration of a controller lease.");
  options.add_duration("claim-retention", settings.claim_retention, seconds(10), hours(24),
                       "Retention time of idempotency keys.");
  options.add_unsigned("seed", settings.seed, 0, UINT64_MAX,
                       "Seed of the random generator; 0: random.");
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
