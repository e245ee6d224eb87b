#include "relay/engine_listener.hpp"

#include "common/log.hpp"
#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

constexpr std::size_t kMaxLoggedBytes = 100;

constexpr int kSuccessStatusEnd = 300;

void log_limit(const EngineId& engine, const ObservedLimit& limit, MonotonicTime now,
               const char* source, std::string_view request) {
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_limit",
            {{"engine", engine.value()},
             {"a_second", limit.per_second.value_or(-1)},
             {"source", source},
             {"age_ms", whole_ms(now - limit.observed_at)},
             {"request", request}});
}

}  // namespace

void EngineListener::on_response_head(const EngineId& engine, int status,
                                      const HttpHeaders& headers, std::string_view request) {
  const ParsedNotice parsed = this->io.dialect.parse_notice(status, headers);
  for (const std::string& field : parsed.malformed_fields) {
    this->io.metrics.count_engine_notice("unreadable");
    log_event(LogArea::kControl, LogLevel::kWarning, "engine_notice_unreadable",
              {{"engine", engine.value()},
               {"request", request},
               {"field", field.substr(0, kMaxLoggedBytes)}});
  }
  if (parsed.notice.draining) this->on_draining(engine, request);
  if (parsed.notice.cooldown) this->on_cooldown(engine, *parsed.notice.cooldown, request);
  // A missing limit ends the limit only in a successful response to a request: refusals, errors and
  // reports may omit it.
  const bool succeeded =
      !request.empty() && status >= http_status::kOk && status < kSuccessStatusEnd;
  if (parsed.notice.limit || (succeeded && !parsed.notice.has_limit)) {
    this->on_limit(engine, parsed.notice.limit, request);
  }
}

/// Tells the other nodes once, so that they stop sending before they get a notice themselves:
/// streams that start at a draining engine may be cut off when it ends. A node that misses the
/// message still gets the engine's own notice.
void EngineListener::on_draining(const EngineId& engine, std::string_view request) {
  if (!this->mark_draining(engine, "engine", request) || !this->trouble_handler) return;
  this->trouble_handler({engine, EngineStage::kNone, TroubleKind::kDraining});
}

void EngineListener::on_peer_trouble(const EngineTrouble& trouble) {
  if (trouble.kind == TroubleKind::kDraining) {
    this->mark_draining(trouble.engine, "node", {});
    return;
  }
  this->io.engines.on_peer_trouble(this->io.runtime.now(), trouble);
}

/// @return whether the engine was not known to be draining.
bool EngineListener::mark_draining(const EngineId& engine, const char* source,
                                   std::string_view request) {
  if (!this->io.engines.on_draining(engine)) return false;
  this->io.metrics.count_engine_notice("leaving");
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_leaves",
            {{"engine", engine.value()}, {"source", source}, {"request", request}});
  return true;
}

void EngineListener::on_cooldown(const EngineId& engine, Duration requested,
                                 std::string_view request) {
  const MonotonicTime now = this->io.runtime.now();
  this->io.engines.on_cooldown(now, engine, requested);
  this->io.metrics.count_engine_notice("rest");
  const Duration cooldown = this->io.engines.notices().cooldown_until(engine) - now;
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_rests",
            {{"engine", engine.value()},
             {"request", request},
             {"asked_ms", whole_ms(requested)},
             {"for_ms", whole_ms(cooldown)}});
}

/// Forwards a changed limit, so that other nodes don't exceed it until they receive it themselves.
void EngineListener::on_limit(const EngineId& engine, std::optional<double> per_second,
                              std::string_view request) {
  const MonotonicTime now = this->io.runtime.now();
  const ObservedLimit observed{per_second, now};
  if (!this->io.engines.on_limit(engine, observed)) return;
  this->io.metrics.count_engine_notice(per_second ? "limit" : "limit_ended");
  log_limit(engine, observed, now, "engine", request);
  if (this->limit_handler) this->limit_handler({engine, observed});
}

void EngineListener::on_peer_limit(const LimitUpdate& update) {
  if (!this->io.engines.on_limit(update.engine, update.limit)) return;
  log_limit(update.engine, update.limit, this->io.runtime.now(), "node", {});
}

}  // namespace shuntbank::relay
