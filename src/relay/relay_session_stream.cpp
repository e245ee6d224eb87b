// Streams that go on after events: at which engines, and how a caller takes one up.
#include <algorithm>

#include "common/log.hpp"
#include "relay/relay_session.hpp"

namespace shuntbank::relay {

void RelaySession::read_stream_fields() {
  const HeaderNames& names = context_.dialect.names();
  taken_up_ = route_.kind == RouteKind::kStream && request_.headers.count(names.last_event_id) > 0;
  const std::string_view resumed = request_.headers.get(names.resumed_request);
  const bool named = taken_up_ && !resumed.empty();
  stream_id_ = named ? std::string(resumed) : id_;
}

void RelaySession::find_stream_origin() {
  const StreamKey key = stream_key(tenant_name(), stream_id_);
  const bool one_service = route_.split.size() == 1;
  context_.streams.find(key, one_service ? std::optional(service_name_) : std::nullopt,
                        [weak = weak_from_this()](const std::optional<StreamOrigin>& origin) {
                          if (const auto self = weak.lock()) self->on_stream_origin(origin);
                        });
}

void RelaySession::on_stream_origin(const std::optional<StreamOrigin>& origin) {
  if (ended_) return;
  const bool usable = origin && has_service(origin->service);
  context_.metrics.count_stream_taken_up(usable ? "known" : "unknown");
  log_event(LogArea::kCallers, LogLevel::kInfo, "stream_taken_up",
            {{"request", id_},
             {"stream", stream_id_},
             {"stream_key", stream_key(tenant_name(), stream_id_)},
             {"after_event", std::string(last_event_id())},
             {"service", origin ? origin->service.value() : std::string()},
             {"software", origin ? origin->version : std::string()},
             {"usable", usable},
             {"age_ms", whole_ms(context_.runtime.now() - arrived_)}});
  if (usable) {
    origin_ = origin;
    use_service(origin->service);
  }
  context_.budgets.of(service_name_).on_request(arrived_);
  if (!usable) return refuse("the version that began the stream is not known");
  dispatch();
}

bool RelaySession::has_service(const ServiceName& service) const {
  return std::any_of(route_.split.begin(), route_.split.end(),
                     [&](const SplitPart& part) { return part.service == service; });
}

void RelaySession::use_service(const ServiceName& service) {
  if (service == service_name_) return;
  service_name_ = service;
  service_ = table_->find_service(service);
  prompt_.reset();
  if (service_ != nullptr && service_->model)
    prompt_ = context_.dialect.parse_prompt(request_.headers);
}

/// The first event that is forwarded binds the stream to the version of its engine.
void RelaySession::bind_stream() {
  if (!origin_) origin_ = {service_name_, version_when_sent_};
  if (!route_.resumable) return;
  held_stream_ = stream_key(tenant_name(), stream_id_);
  context_.streams.hold(*held_stream_, *origin_);
}

}  // namespace shuntbank::relay
