#include "relay/engine_paths.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

/// Many round trips between zones.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(250);

/// Probes of engines with a broken path that start in one tick.
constexpr std::size_t kProbesPerTick = 3;

/// Minimum interval between two probes of an engine that is overdue but accepts connections.
constexpr Duration kSilenceProbeInterval = std::chrono::seconds(1);

/// Engines that one check connects to. With fewer, a partition from half of the engines would often
/// look like one from all.
constexpr std::size_t kProbesPerCheck = 6;

/// Engines among which a check chooses, so that some are of other zones and not known as broken.
constexpr std::size_t kCheckSample = 24;

/// Engines that have to accept connections before a broken path counts as restored. One may be
/// among the few that a partition left in reach.
constexpr std::size_t kConnectionsToRestore = 2;

/// The other engines of a check are probed if the first one has not accepted a connection by then.
constexpr Duration kProbeStagger = std::chrono::milliseconds(30);

/// A successful check answers for this long, so that many failures at once cause one check.
constexpr Duration kCheckValidity = std::chrono::milliseconds(100);

/// A tunnel that was used this recently shows that another node reaches the engines.
constexpr Duration kRecentTunnel = std::chrono::seconds(2);

const char* to_text(std::optional<TunnelStatus> status) {
  if (!status) return "no_answer";
  switch (*status) {
    case TunnelStatus::kOpen:
      return "open";
    case TunnelStatus::kRefused:
      return "refused";
    case TunnelStatus::kUnreachable:
      return "unreachable";
    case TunnelStatus::kTargetUnknown:
      return "target_unknown";
    case TunnelStatus::kUnavailable:
      return "unavailable";
  }
  return "unknown";
}

}  // namespace

EnginePaths::EnginePaths(const EnginePathsIo& own_io) : io(own_io), direct(own_io.runtime.now()) {
  if (this->io.probe == nullptr) return;
  this->ticker =
      std::make_unique<Periodic>(this->io.runtime, kTickInterval, [this] { this->tick(); });
}

EnginePaths::~EnginePaths() {
  *this->alive = false;
}

void EnginePaths::on_connect_failed(const EngineId& engine, bool refused) {
  const MonotonicTime now = this->io.runtime.now();
  this->direct.on_connect_failed(now, engine, refused);
  const EngineView* view = this->io.engines.find(engine);
  if (!refused && view != nullptr && this->unreachable_handler) {
    this->unreachable_handler(view->record.address);
  }
  if (this->io.probe != nullptr && this->direct.check_due(now)) this->check();
}

void EnginePaths::on_silent_attempt(const EngineId& engine, bool overdue) {
  const MonotonicTime now = this->io.runtime.now();
  if (this->direct.since_last_answer(now) >= kMaxAttemptSilence) this->direct.on_silence();
  if (!overdue || this->is_broken(engine)) return;
  std::erase_if(this->silence_probes,
                [now](const auto& entry) { return now - entry.second >= kSilenceProbeInterval; });
  if (this->silence_probes.emplace(engine, now).second) this->probe(engine);
}

std::optional<TunnelStatus> EnginePaths::tunnel_refusal(const EngineId& engine) const {
  if (this->path_broken()) return TunnelStatus::kUnavailable;
  const BrokenPath* path = this->direct.find_broken(engine);
  if (path == nullptr) return std::nullopt;
  return path->refused ? TunnelStatus::kRefused : TunnelStatus::kUnreachable;
}

bool EnginePaths::confirmed(const EngineId& engine, std::size_t refusals) const {
  const std::size_t required = std::min(kMaxPeersAsked, this->tunnel_peers.size());
  const EngineView* view = this->io.engines.find(engine);
  const bool used = view != nullptr && view->used_by_peers();
  return required > 0 && refusals >= required && !used;
}

void EnginePaths::verify(VerifyHandler handler) {
  const MonotonicTime now = this->io.runtime.now();
  const bool just_checked = this->connected_at && now - *this->connected_at <= kCheckValidity;
  if (this->io.probe == nullptr || just_checked) return handler(true);
  this->waiting.push_back(std::move(handler));
  if (!this->running_check) this->check();
}

bool EnginePaths::bypassed() const {
  return this->path_broken() &&
         this->tunnel_peers.opened_within(this->io.runtime.now(), kRecentTunnel);
}

std::optional<TunnelRoute> EnginePaths::choose_tunnel(const EngineId& engine,
                                                      const std::vector<std::string>& tried) const {
  const auto address = this->tunnel_peers.choose(this->io.runtime.now(), engine, tried);
  if (!address) return std::nullopt;
  return TunnelRoute{*address, engine.value()};
}

void EnginePaths::on_tunnel_used(const TunnelRoute& tunnel) {
  this->tunnel_peers.on_opened(this->io.runtime.now(), tunnel.address);
}

void EnginePaths::on_tunnel_failed(const TunnelRoute& tunnel, std::optional<TunnelStatus> status) {
  this->io.metrics.count_tunnel_failure(to_text(status));
  const MonotonicTime now = this->io.runtime.now();
  const bool peer_failed = !status || *status == TunnelStatus::kUnavailable;
  if (peer_failed) return this->tunnel_peers.on_failed(now, tunnel.address);
  this->tunnel_peers.on_no_path(now, tunnel.address, EngineId(tunnel.target));
}

void EnginePaths::tick() {
  if (this->tick_handler) this->tick_handler();
  const MonotonicTime now = this->io.runtime.now();
  if (this->direct.check_due(now)) this->check();
  // Until an engine is reachable again, the checks are enough.
  if (this->path_broken()) return;
  for (const EngineId& engine : this->direct.take_due_probes(now, kProbesPerTick)) {
    this->probe(engine);
  }
}

void EnginePaths::probe(const EngineId& engine) {
  const EngineView* view = this->io.engines.find(engine);
  if (view == nullptr) return this->direct.forget(engine);
  // If it was taken for terminated by mistake, requests find out.
  if (view->terminated) return;
  const std::string address = view->record.address;
  this->io.probe->probe(address, kProbeTimeout,
                        [this, still_alive = this->alive, engine, address](bool connected) {
                          if (!*still_alive) return;
                          const bool known = this->direct.find_broken(engine) != nullptr;
                          this->direct.on_probed(this->io.runtime.now(), engine, connected);
                          if (!connected && !known && this->unreachable_handler)
                            this->unreachable_handler(address);
                        });
}

/// @return addresses of engines that a check connects to: in different zones if possible, and not
/// those that connections have failed to.
std::vector<std::string> EnginePaths::engines_to_check() const {
  std::vector<const EngineRecord*> sound;
  std::vector<const EngineRecord*> broken;
  const std::uint64_t random = random_number(this->io.runtime);
  for (const EngineView* engine : this->io.engines.sample(kCheckSample, random)) {
    if (engine->record.draining) continue;
    const bool is_broken = this->direct.find_broken(engine->record.id) != nullptr;
    (is_broken ? broken : sound).push_back(&engine->record);
  }
  sound.insert(sound.end(), broken.begin(), broken.end());
  std::set<ZoneName> zones;
  std::vector<std::string> of_new_zones;
  std::vector<std::string> others;
  for (const EngineRecord* record : sound) {
    const bool new_zone = zones.insert(record->zone).second;
    (new_zone ? of_new_zones : others).push_back(record->address);
  }
  of_new_zones.insert(of_new_zones.end(), others.begin(), others.end());
  of_new_zones.resize(std::min(of_new_zones.size(), kProbesPerCheck));
  return of_new_zones;
}

void EnginePaths::check() {
  this->direct.on_check_started(this->io.runtime.now());
  const std::vector<std::string> addresses = this->engines_to_check();
  if (addresses.empty()) return this->finish_check(true);
  auto running = std::make_shared<Check>();
  running->addresses = addresses;
  if (this->path_broken()) running->missing = std::min(kConnectionsToRestore, addresses.size());
  this->running_check = running;
  this->probe_next(running);
  running->timer = this->io.runtime.after(kProbeStagger, [this, weak = std::weak_ptr(running)] {
    if (const auto waiting_check = weak.lock()) this->probe_rest(waiting_check);
  });
}

void EnginePaths::probe_next(const std::shared_ptr<Check>& running) {
  const std::string address = running->addresses.front();
  running->addresses.erase(running->addresses.begin());
  ++running->pending;
  this->io.probe->probe(address, kProbeTimeout,
                        [this, still_alive = this->alive, running](bool connected) {
                          if (*still_alive) this->on_probed(running, connected);
                        });
}

void EnginePaths::probe_rest(const std::shared_ptr<Check>& running) {
  while (!running->addresses.empty()) this->probe_next(running);
}

void EnginePaths::on_probed(const std::shared_ptr<Check>& running, bool connected) {
  if (this->running_check != running) return;
  --running->pending;
  if (connected) --running->missing;
  if (running->missing > 0) {
    this->probe_rest(running);
    if (running->pending > 0) return;
  }
  this->running_check.reset();
  this->finish_check(running->missing == 0);
}

void EnginePaths::finish_check(bool connected) {
  const MonotonicTime now = this->io.runtime.now();
  const std::size_t failed = this->direct.broken_paths().size();
  const Duration broken_for = this->direct.broken_for(now);
  if (connected) this->connected_at = now;
  const bool changed = this->direct.on_check_ended(now, connected);
  if (changed) {
    this->io.metrics.set_gauge("engine_path_broken", connected ? 0 : 1);
    log_event(LogArea::kControl, connected ? LogLevel::kInfo : LogLevel::kWarning,
              connected ? "engine_path_restored" : "engine_path_lost",
              {{"unreachable_engines", failed},
               {"silence_ms", whole_ms(this->direct.since_last_answer(now))},
               {"after_ms", whole_ms(broken_for)}});
    if (!connected && this->lost_handler) this->lost_handler();
  }
  const auto handlers = std::exchange(this->waiting, {});
  for (const VerifyHandler& handler : handlers) handler(connected);
}

}  // namespace shuntbank::relay
