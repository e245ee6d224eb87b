#include "relay/engine_listener.hpp"

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

/// Of a field that cannot be read, in a log line.
constexpr std::size_t kMostLoggedBytes = 100;

}  // namespace

void EngineListener::on_head(const EngineId& engine, int status, const HttpHeaders& headers,
                             std::string_view request) {
  const ReadNotice read = this->io.dialect.notice(status, headers);
  for (const std::string& field : read.unreadable) {
    this->io.metrics.count_engine_notice("unreadable");
    log_event(LogArea::kControl, LogLevel::kWarning, "engine_notice_unreadable",
              {{"engine", engine.value()},
               {"request", request},
               {"field", field.substr(0, kMostLoggedBytes)}});
  }
  if (read.notice.leaving) this->on_leaving(engine, request);
  if (read.notice.rest) this->on_rest(engine, *read.notice.rest, request);
}

/// The other nodes would send the engine requests until each has an answer of its own, and streams
/// that begin there now may be cut by its end. Told once: who misses it hears it from the engine.
void EngineListener::on_leaving(const EngineId& engine, std::string_view request) {
  if (!this->learn_leaving(engine, "engine", request) || !this->tell_trouble) return;
  this->tell_trouble({engine, EngineStage::kNone, TroubleKind::kLeaving});
}

void EngineListener::on_peer_trouble(const EngineTrouble& trouble) {
  if (trouble.kind == TroubleKind::kLeaving) {
    this->learn_leaving(trouble.engine, "node", {});
    return;
  }
  this->io.engines.on_peer_trouble(this->io.runtime.now(), trouble);
}

/// @return whether it is news.
bool EngineListener::learn_leaving(const EngineId& engine, const char* source,
                                   std::string_view request) {
  if (!this->io.engines.on_leaving(engine)) return false;
  this->io.metrics.count_engine_notice("leaving");
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_leaves",
            {{"engine", engine.value()}, {"source", source}, {"request", request}});
  return true;
}

void EngineListener::on_rest(const EngineId& engine, Duration rest, std::string_view request) {
  const MonotonicTime now = this->io.runtime.now();
  this->io.engines.on_rest(now, engine, rest);
  this->io.metrics.count_engine_notice("rest");
  const Duration kept = this->io.engines.notices().rests_until(engine) - now;
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_rests",
            {{"engine", engine.value()},
             {"request", request},
             {"asked_ms", whole_ms(rest)},
             {"for_ms", whole_ms(kept)}});
}

}  // namespace shuntbank::relay
