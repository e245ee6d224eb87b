#include "relay/engine_listener.hpp"

#include "common/log.hpp"

namespace shuntbank::relay {

void EngineListener::on_head(const EngineId& engine, int status, const HttpHeaders& headers,
                             std::string_view request) {
  const ReadNotice read = this->io.dialect.notice(status, headers);
  for (const std::string& field : read.unreadable) {
    this->io.metrics.count_engine_notice("unreadable");
    log_event(LogArea::kControl, LogLevel::kWarning, "engine_notice_unreadable",
              {{"engine", engine.value()}, {"request", request}, {"field", field}});
  }
  const EngineNotice& notice = read.notice;
  if (notice == EngineNotice()) return;
  if (notice.leaving) this->io.metrics.count_engine_notice("leaving");
  if (notice.rest) this->io.metrics.count_engine_notice("rest");
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_notice",
            {{"engine", engine.value()},
             {"request", request},
             {"status", status},
             {"leaving", notice.leaving},
             {"rest_ms", notice.rest ? whole_ms(*notice.rest) : 0}});
}

}  // namespace shuntbank::relay
