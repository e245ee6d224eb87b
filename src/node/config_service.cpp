#include "node/config_service.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace shuntbank {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(200);

/// Nodes per region that read the platform; the others pull from peers.
constexpr std::size_t kStoreReadersPerRegion = 2;

/// How long to check whether an unanswered write was stored.
constexpr Duration kWriteConfirmTimeout = std::chrono::seconds(8);
constexpr Duration kWriteConfirmInterval = std::chrono::milliseconds(300);

constexpr std::size_t kWriteIdBytes = 8;

constexpr Duration kInitialBackoff = std::chrono::milliseconds(300);
constexpr std::uint32_t kMaxBackoffDoublings = 5;

}  // namespace

/// A change in progress.
struct ConfigService::Change {
  std::vector<ObjectEdit> edits;
  ChangeHandler handler;
  std::string write_id;
  std::optional<ConfigDocument> written;  ///< Document of the last write.
  MonotonicTime confirm_deadline{};
};

ConfigService::ConfigService(Runtime& runtime, ObjectClient& platform, std::uint64_t seed,
                             AdoptedHandler on_adopted)
    : runtime_(runtime), platform_(platform), on_adopted_(std::move(on_adopted)), random_(seed) {}

void ConfigService::start() {
  ticker_ = std::make_unique<Periodic>(runtime_, kTickInterval, [this] { tick(); });
  tick();
}

bool ConfigService::is_store_reader() const {
  const auto readers = cluster_->candidates("config-reader", kStoreReadersPerRegion);
  return std::any_of(readers.begin(), readers.end(), [this](const MemberFact& reader) {
    return reader.node == cluster_->self().node;
  });
}

void ConfigService::tick() {
  if (store_call_pending_ || runtime_.now() < next_read_) return;
  // A starting node reads the platform once, as a peer's revision may be stale.
  if (!ready()) return read_platform();
  if (is_store_reader()) watch_platform();
}

void ConfigService::read_platform() {
  store_call_pending_ = true;
  platform_.read(kConfigKey, [this](const auto& result) { on_platform_value(result); });
}

void ConfigService::watch_platform() {
  store_call_pending_ = true;
  platform_.watch(kConfigKey, platform_version_,
                  [this](const auto& result) { on_platform_value(result); });
}

void ConfigService::on_platform_value(
    const tl::expected<std::optional<VersionedValue>, PlatformError>& result) {
  store_call_pending_ = false;
  platform_reachable_ = result.has_value();
  if (!result) {
    // Exponential backoff with jitter, to spare a recovering store.
    const auto backoff =
        kInitialBackoff * (1 << std::min(consecutive_failures_, kMaxBackoffDoublings));
    next_read_ = runtime_.now() + backoff / 2 + Duration(random_() % backoff.count());
    ++consecutive_failures_;
    return;
  }
  consecutive_failures_ = 0;
  if (!result->has_value()) {
    // Nothing is stored, so the empty configuration is valid; or a watch ended without changes.
    if (!ready()) on_offer(replica_.offer(ConfigDocument{}));
    next_read_ = runtime_.now() + kInitialBackoff;
    return;
  }
  platform_version_ = (*result)->version;
  adopt_document((*result)->value);
}

void ConfigService::adopt_document(const nlohmann::json& value) {
  const auto document = document_from_json(value);
  if (!document) {
    log_event(LogArea::kConfig, LogLevel::kError, "stored_document_unreadable",
              {{"findings", document.error().to_text()}});
    return;
  }
  on_offer(replica_.offer(*document));
}

void ConfigService::on_offer(OfferResult result) {
  if (result == OfferResult::kInvalid) {
    log_event(LogArea::kConfig, LogLevel::kError, "revision_invalid",
              {{"findings", replica_.findings().to_text()}});
  }
  if (result != OfferResult::kAdopted) return;
  log_event(LogArea::kConfig, LogLevel::kInfo, "revision_adopted",
            {{"revision", replica_.revision()}});
  on_adopted_(replica_.snapshot());
  cluster_->announce_revision(replica_.revision());
}

void ConfigService::on_peer_revision(const MemberFact& peer, Revision revision) {
  // While the platform is unreachable, a starting node accepts a peer's revision.
  const bool may_pull = ready() || consecutive_failures_ > 0;
  if (may_pull && revision > replica_.revision()) pull_from(peer.address);
}

void ConfigService::pull_from(const std::string& address) {
  if (pull_pending_) return;
  pull_pending_ = true;
  cluster_->call(address, ConfigPull{replica_.revision()}, [this](const auto& answer) {
    pull_pending_ = false;
    if (!answer) return;
    const auto* changes = std::get_if<ConfigChanges>(&*answer);
    if (changes != nullptr) on_offer(replica_.offer_changes(changes->base, changes->document));
  });
}

Message ConfigService::on_pull(const ConfigPull& pull) const {
  return ConfigChanges{pull.have, replica_.document().changes_since(pull.have)};
}

void ConfigService::change(std::vector<ObjectEdit> edits, ChangeHandler handler) {
  auto change = std::make_shared<Change>();
  change->write_id = runtime_.random_hex(kWriteIdBytes);
  change->edits = std::move(edits);
  change->handler = std::move(handler);
  read_for_change(change);
}

void ConfigService::read_for_change(const std::shared_ptr<Change>& change) {
  platform_.read(kConfigKey, [this, change](const auto& stored) {
    if (!stored) {
      return change->handler(
          tl::make_unexpected(ChangeFailure{ChangeFailure::Kind::kUnavailable, {}}));
    }
    write_change(change, *stored);
  });
}

void ConfigService::write_change(const std::shared_ptr<Change>& change,
                                 const std::optional<VersionedValue>& stored) {
  ConfigDocument current;
  if (stored) {
    const auto document = document_from_json(stored->value);
    if (!document) {
      EditRefusal refusal{{}, document.error()};
      return change->handler(
          tl::make_unexpected(ChangeFailure{ChangeFailure::Kind::kRefused, refusal}));
    }
    current = *document;
  }
  const auto next = apply_edits(current, change->edits, change->write_id);
  if (!next) {
    return change->handler(
        tl::make_unexpected(ChangeFailure{ChangeFailure::Kind::kRefused, next.error()}));
  }
  change->written = *next;
  change->confirm_deadline = runtime_.now() + kWriteConfirmTimeout;
  const std::uint64_t version = stored ? stored->version : 0;
  platform_.write(kConfigKey, version, to_json(*next), [this, change](const auto& result) {
    if (!result) return confirm_write(change);
    if (result->applied) return finish(change, *change->written);
    read_for_change(change);  // Lost a write race: retry on the current document.
  });
}

void ConfigService::confirm_write(const std::shared_ptr<Change>& change) {
  platform_.read(kConfigKey, [this, change](const auto& stored) {
    if (stored && stored->has_value()) {
      const auto document = document_from_json((*stored)->value);
      if (document && document->contains_write(change->write_id)) return finish(change, *document);
    }
    // The write may still be in flight, so it can neither be resent nor reported as failed.
    if (runtime_.now() >= change->confirm_deadline) {
      return change->handler(tl::make_unexpected(ChangeFailure{ChangeFailure::Kind::kUnknown, {}}));
    }
    call_after(runtime_, kWriteConfirmInterval, [this, change] { confirm_write(change); });
  });
}

void ConfigService::finish(const std::shared_ptr<Change>& change, const ConfigDocument& document) {
  on_offer(replica_.offer(document));
  change->handler(document.revision);
}

}  // namespace shuntbank
