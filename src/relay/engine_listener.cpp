#include "relay/engine_listener.hpp"

#include "common/log.hpp"
#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

/// Of a field that cannot be read, in a log line.
constexpr std::size_t kMostLoggedBytes = 100;

/// Of an answer.
constexpr int kFirstNoSuccess = 300;

void log_limit(const EngineId& engine, const HeardLimit& limit, MonotonicTime now,
               const char* source, std::string_view request) {
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_limit",
            {{"engine", engine.value()},
             {"a_second", limit.a_second.value_or(-1)},
             {"source", source},
             {"age_ms", whole_ms(now - limit.heard_at)},
             {"request", request}});
}

}  // namespace

void EngineListener::on_head(const EngineId& engine, int status, const HttpHeaders& headers,
                             std::string_view request) {
  const ParsedNotice read = this->io.dialect.parse_notice(status, headers);
  for (const std::string& field : read.malformed_fields) {
    this->io.metrics.count_engine_notice("unreadable");
    log_event(LogArea::kControl, LogLevel::kWarning, "engine_notice_unreadable",
              {{"engine", engine.value()},
               {"request", request},
               {"field", field.substr(0, kMostLoggedBytes)}});
  }
  if (read.notice.leaving) this->on_leaving(engine, request);
  if (read.notice.rest) this->on_rest(engine, *read.notice.rest, request);
  // Only an engine that has taken a request up and names no limit has none any more: others may
  // leave the word out where they refuse, fail or report.
  const bool done = !request.empty() && status >= http_status::kOk && status < kFirstNoSuccess;
  if (read.notice.limit || (done && !read.notice.names_limit)) {
    this->on_limit(engine, read.notice.limit, request);
  }
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

/// The other nodes would send the engine some requests each until they have an answer of it.
void EngineListener::on_limit(const EngineId& engine, std::optional<double> a_second,
                              std::string_view request) {
  const MonotonicTime now = this->io.runtime.now();
  const HeardLimit heard{a_second, now};
  if (!this->io.engines.on_limit(engine, heard)) return;
  this->io.metrics.count_engine_notice(a_second ? "limit" : "limit_ended");
  log_limit(engine, heard, now, "engine", request);
  if (this->tell_limit) this->tell_limit({engine, heard});
}

void EngineListener::on_peer_limit(const LimitNews& news) {
  if (!this->io.engines.on_limit(news.engine, news.limit)) return;
  log_limit(news.engine, news.limit, this->io.runtime.now(), "node", {});
}

}  // namespace shuntbank::relay
