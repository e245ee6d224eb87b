#include "relay/quarantine.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "net/http_status.hpp"

namespace shuntbank::relay {
namespace {

/// Between two looks at what is too old.
constexpr Duration kTick = std::chrono::seconds(1);

/// An engine that has ended refuses at once; one that lives answers within a few milliseconds.
constexpr Duration kAskTimeout = std::chrono::milliseconds(500);

/// Between two times that a piece of news is told: a burst of lost messages is shorter, and a node
/// tells its load each second at least.
constexpr Duration kTellAgain = std::chrono::milliseconds(300);

/// Times that a piece of news is told: of four messages, each lost one time in ten, all are lost
/// once in 10,000.
constexpr int kTimesTold = 4;

/// News in one message, about 30 bytes each; more wait for the next one.
constexpr std::size_t kMostReports = 12;

/// News that wait; the oldest go first.
constexpr std::size_t kMostTellings = 500;

std::uint32_t age_ms(MonotonicTime now, MonotonicTime at) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
}

}  // namespace

Quarantine::Quarantine(const QuarantineIo& own_io) : io(own_io) {
  this->ticking = std::make_unique<Periodic>(this->io.runtime, kTick, [this] { this->tick(); });
}

Quarantine::~Quarantine() {
  *this->alive = false;
}

CrashStanding Quarantine::standing(const TriedRequest& tried) const {
  return this->ledger.standing(this->io.runtime.now(), tried);
}

bool Quarantine::suspects(const RequestIdentity& request) const {
  return this->standing({request, 0}).suspect();
}

std::set<EngineKey> Quarantine::engines_on_trial(const RequestIdentity& request) const {
  return this->ledger.engines_on_trial(this->io.runtime.now(), request);
}

void Quarantine::begin_trial(const RequestIdentity& request, const EngineId& engine) {
  const MonotonicTime now = this->io.runtime.now();
  this->ledger.begin_trial(now, request, engine_key(engine));
  if (this->told.count(request) == 0) return;
  this->tell(CrashNews::kOnTrial, {request, 0}, engine_key(engine), now);
}

void Quarantine::end_trial(const RequestIdentity& request, const EngineId& engine) {
  if (!this->standing({request, 0}).under_way) return;
  this->ledger.end_trial(request);
  const EngineKey key = engine_key(engine);
  const auto told_begin = std::erase_if(this->tellings, [&](const Telling& telling) {
    return telling.news == CrashNews::kOnTrial && telling.request == request;
  });
  if (told_begin == 0 && this->told.count(request) == 0) return;
  this->tell(CrashNews::kOffTrial, {request, 0}, key, this->io.runtime.now());
}

/// @return whether what was sent to the engine then may have ended it. One that has said that it
/// leaves ends whatever it is sent.
bool Quarantine::may_have_ended_it(const EngineId& engine, MonotonicTime sent_at) const {
  const EngineView* view = this->io.engines.find(engine);
  if (view == nullptr || view->record.draining) return false;
  return !this->ledger.ended_before(sent_at, engine_key(engine));
}

void Quarantine::on_broken(const TriedRequest& tried, const EngineId& engine,
                           MonotonicTime sent_at) {
  if (!this->may_have_ended_it(engine, sent_at)) return;
  this->ledger.on_broken(this->io.runtime.now(), {tried, engine_key(engine), false, false});
  if (this->standing(tried).broken > 1) this->tell_all(tried.request);
  this->settle();
}

void Quarantine::on_silent(const TriedRequest& tried, const EngineId& engine,
                           MonotonicTime sent_at) {
  if (!this->may_have_ended_it(engine, sent_at)) return;
  this->ledger.on_broken(this->io.runtime.now(), {tried, engine_key(engine), true, false});
}

void Quarantine::on_answered(const RequestIdentity& request) {
  if (!this->suspects(request)) return;
  const MonotonicTime now = this->io.runtime.now();
  const bool was_held = this->ledger.holds(request);
  const bool others_know = this->told.erase(request) > 0 || this->ledger.heard_of(request);
  this->ledger.clear(now, request);
  if (others_know) this->tell(CrashNews::kCleared, {request, 0}, 0, now);
  if (was_held) this->note_held_changed(true);
}

void Quarantine::on_failed(const RequestIdentity& request) {
  if (this->ledger.knows(request)) this->tell_all(request);
}

void Quarantine::on_held_again(const RequestIdentity& request) {
  this->ledger.on_held_again(this->io.runtime.now(), request);
  // A node that has just started may not know yet.
  this->tell_all(request);
}

void Quarantine::on_engine_ended(const EngineId& engine) {
  const EngineKey key = engine_key(engine);
  this->ledger.on_engine_ended(this->io.runtime.now(), key);
  // What was told as broken off, or kept back as silence, can now be told for certain.
  for (const RequestIdentity& request : this->ledger.broken_by(key)) {
    if (this->told.count(request) > 0) this->tell_all(request);
  }
  this->settle();
}

void Quarantine::on_engine_answered(const EngineId& engine, MonotonicTime sent_at) {
  if (!this->idle()) this->ledger.on_engine_answered(sent_at, engine_key(engine));
}

bool Quarantine::lift(const RequestIdentity& request) {
  if (!this->ledger.holds(request)) return false;
  const MonotonicTime now = this->io.runtime.now();
  this->ledger.clear(now, request);
  this->told.erase(request);
  this->tell(CrashNews::kCleared, {request, 0}, 0, now);
  log_event(LogArea::kControl, LogLevel::kWarning, "request_let_go",
            {{"identity", to_text(request)}, {"why", "an operator speaks for it"}});
  this->note_held_changed(true);
  return true;
}

std::vector<HeldRequest> Quarantine::held() const {
  return this->ledger.held(this->io.runtime.now());
}

void Quarantine::restore(const std::vector<HeldRequest>& held) {
  for (const HeldRequest& entry : held) {
    if (this->ledger.holds(entry.request)) continue;
    this->ledger.restore(this->io.runtime.now(), entry);
    this->log_verdict(entry, "store");
  }
}

void Quarantine::tell(CrashNews what, const TriedRequest& tried, EngineKey engine,
                      MonotonicTime at) {
  const auto known = [&](const Telling& other) {
    return other.request == tried.request && other.engine == engine && other.news == what;
  };
  std::erase_if(this->tellings, known);
  if (this->tellings.size() >= kMostTellings) this->tellings.erase(this->tellings.begin());
  this->tellings.push_back(
      {what, tried.request, engine, tried.caller, at, 0, this->io.runtime.now()});
  if (this->news) this->news();
}

void Quarantine::tell_all(const RequestIdentity& request) {
  this->told.insert(request);
  for (const CrashEvidence& evidence : this->ledger.evidence(request)) {
    this->tell(evidence.ended ? CrashNews::kEnded : CrashNews::kBroken, {request, evidence.caller},
               evidence.engine, evidence.at);
  }
}

std::vector<CrashReport> Quarantine::take_reports() {
  const MonotonicTime now = this->io.runtime.now();
  std::vector<CrashReport> reports;
  for (Telling& telling : this->tellings) {
    if (telling.next > now) continue;
    if (reports.size() >= kMostReports) {
      if (this->news) this->news();
      break;
    }
    reports.push_back(
        {telling.news, telling.request, telling.engine, telling.caller, age_ms(now, telling.at)});
    ++telling.told;
    telling.next = now + kTellAgain;
  }
  std::erase_if(this->tellings, [](const Telling& telling) { return telling.told >= kTimesTold; });
  return reports;
}

void Quarantine::learn(const std::vector<CrashReport>& reports) {
  if (reports.empty()) return;
  const MonotonicTime now = this->io.runtime.now();
  for (const CrashReport& report : reports) this->learn_one(now, report);
  this->settle();
}

void Quarantine::learn_one(MonotonicTime now, const CrashReport& report) {
  const MonotonicTime at = now - std::chrono::milliseconds(report.age_ms);
  const BrokenRequest broken{{report.request, report.caller}, report.engine, false, true};
  switch (report.news) {
    case CrashNews::kBroken:
      return this->ledger.on_broken(at, broken);
    case CrashNews::kEnded:
      this->ledger.on_broken(at, broken);
      return this->ledger.on_engine_ended(now, report.engine);
    case CrashNews::kCleared: {
      const bool was_held = this->ledger.holds(report.request);
      this->ledger.clear(at, report.request);
      if (was_held) this->note_held_changed(false);
      return;
    }
    case CrashNews::kOnTrial:
      return this->ledger.begin_trial(at, report.request, report.engine);
    case CrashNews::kLives:
      return this->ledger.on_engine_answered(at, report.engine);
    case CrashNews::kOffTrial:
      return this->ledger.end_trial(report.request);
  }
}

/// Asks what is open, and says what has been decided.
void Quarantine::settle() {
  const MonotonicTime now = this->io.runtime.now();
  for (const EngineKey key : this->ledger.take_questions(now)) this->ask(key);
  for (const HeldRequest& held : this->ledger.take_verdicts(now)) {
    // All nodes come to it by what a few have seen; these tell, so that the messages of a fleet do
    // not grow with its square.
    const bool own = this->told.count(held.request) > 0;
    this->log_verdict(held, own ? "seen" : "heard");
    if (own) this->tell_all(held.request);
    this->note_held_changed(own);
  }
}

void Quarantine::note_held_changed(bool own) {
  if (this->held_changed) this->held_changed(own);
}

void Quarantine::ask(EngineKey key) {
  const EngineView* view = this->io.engines.find_by_key(key);
  if (view == nullptr) return;
  const EngineId engine = view->record.id;
  OutgoingRequest call =
      this->io.dialect.report_request(view->record.address, view->record.own_name());
  call.connect_timeout = kAskTimeout;
  call.total_timeout = kAskTimeout;
  const MonotonicTime asked_at = this->io.runtime.now();
  const AskedEngine asked{engine, view->record.started_unix_ms, asked_at};
  this->io.http.fetch(std::move(call), [this, living = this->alive, asked](
                                           const tl::expected<HttpReply, TransferError>& reply) {
    if (*living) this->on_reply(asked, reply);
  });
}

/// Another start of the engine, or of another one, answers at the address.
bool Quarantine::replaced(const AskedEngine& asked, const HttpReply& reply) const {
  if (reply.status == http_status::kMisdirected) return true;
  if (reply.status != http_status::kOk) return false;
  const auto report = this->io.dialect.parse_report(reply.body);
  if (!report || !report->started_unix_ms) return false;
  return *report->started_unix_ms != asked.started_unix_ms;
}

void Quarantine::on_reply(const AskedEngine& asked,
                          const tl::expected<HttpReply, TransferError>& reply) {
  const auto& [engine, started, asked_at] = asked;
  const bool refused = !reply && reply.error().connection_refused;
  const bool replaced = reply && this->replaced(asked, *reply);
  const char* found = refused || replaced ? "ended" : (reply ? "lives" : "silent");
  log_event(LogArea::kControl, LogLevel::kInfo, "engine_asked",
            {{"engine", engine.value()}, {"found", found}});
  if (refused || replaced) return this->on_engine_ended(engine);
  if (!reply) return;
  this->io.listener.on_head(engine, reply->status, reply->headers);
  // It was asked behind all that is known by then, also where the clock shows the same time.
  this->on_engine_answered(engine, asked_at + Duration(1));
  this->tell(CrashNews::kLives, {}, engine_key(engine), asked_at);
}

void Quarantine::log_verdict(const HeldRequest& held, const char* source) const {
  this->io.metrics.count_held_back(source);
  std::string engines;
  for (const EngineKey key : held.ended) {
    const EngineView* view = this->io.engines.find_by_key(key);
    if (!engines.empty()) engines += ',';
    engines += view != nullptr ? view->record.id.value() : std::to_string(key);
  }
  log_event(LogArea::kControl, LogLevel::kWarning, "request_held_back",
            {{"identity", to_text(held.request)},
             {"engines_ended", held.ended.size()},
             {"engines", engines},
             {"callers", held.callers.size()},
             {"source", source},
             {"for_s", to_seconds(held.left)}});
}

void Quarantine::tick() {
  if (this->idle()) return;
  this->ledger.expire(this->io.runtime.now());
  this->settle();
  std::erase_if(this->told,
                [this](const RequestIdentity& request) { return !this->ledger.knows(request); });
  this->io.metrics.set_gauge("requests_held_back", static_cast<double>(this->held().size()));
}

}  // namespace shuntbank::relay
