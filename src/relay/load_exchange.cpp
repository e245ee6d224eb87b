#include "relay/load_exchange.hpp"

#include <algorithm>
#include <utility>

#include "common/hash.hpp"
#include "common/log.hpp"

namespace shuntbank::relay {
namespace {

constexpr Duration kRegisterTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRegisterAgain = std::chrono::seconds(2);
constexpr std::size_t kBootBytes = 7;

/// A silent store costs nothing here but a late look at new nodes. The wait stays below the history
/// that the store keeps; a longer one had to list again each time (seen in an incident).
store::KindWatchSettings watch_settings() {
  store::KindWatchSettings settings;
  settings.wait = std::chrono::seconds(12);
  settings.longest_backoff = std::chrono::seconds(4);
  return settings;
}

}  // namespace

LoadExchange::LoadExchange(Runtime& runtime, store::ObjectStore& store, PeerTransport& transport,
                           RelayNode& node, const std::string& self,
                           const LoadExchangeSettings& settings)
    : runtime_(runtime),
      store_(store),
      transport_(transport),
      node_(node),
      self_(self),
      settings_(settings),
      boot_(std::stoull(runtime.random_hex(kBootBytes), nullptr, 16)) {
  transport_.set_handlers(
      [this](std::string_view bytes, const std::string&) { on_message(bytes); },
      [](const std::string&, const std::function<void(std::string)>& reply) { reply(""); });
  node_.on_load_changed([this] { schedule_flush(); });
  register_self();
  start_timer_ = runtime.after(settings.first_look, [this] { watch_nodes(); });
  refresh_ = std::make_unique<Periodic>(runtime, settings.refresh, [this] {
    node_.engines().forget_silent_peers(runtime_.now());
    if (had_load_ || !node_.engines().own_load().empty()) flush();
  });
}

LoadExchange::~LoadExchange() {
  *alive_ = false;
}

void LoadExchange::register_self() {
  const nlohmann::json content = {{"address", transport_.local_address()}};
  store_.create(
      settings_.kind, self_.value(), content, kRegisterTimeout,
      [this, alive = alive_](const tl::expected<store::StoredObject, store::StoreError>& made) {
        // A machine keeps its name and address when its process starts again.
        if (!*alive || made || made.error() == store::StoreError::kConflict) return;
        start_again_ = runtime_.after(kRegisterAgain, [this] { register_self(); });
      });
}

void LoadExchange::watch_nodes() {
  store::KindWatchHandlers handlers;
  handlers.on_list = [this](const store::ObjectList& list) {
    for (const store::StoredObject& object : list.objects) take_node(object);
  };
  handlers.on_change = [this](const store::ObjectChange& change) {
    if (change.gone) {
      peers_.erase(NodeId(change.object.name));
    } else {
      take_node(change.object);
    }
  };
  watch_ = std::make_unique<store::KindWatch>(runtime_, store_, settings_.kind, watch_settings(),
                                              std::move(handlers));
}

void LoadExchange::take_node(const store::StoredObject& object) {
  if (!object.content.is_object() || object.name == self_.value()) return;
  peers_[NodeId(object.name)] = object.content.value("address", "");
  node_.set_node_count(nodes());
}

/// In a large fleet each node tells a few others, chosen by a hash so that all are told by as many.
std::vector<std::string> LoadExchange::targets() const {
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const auto& [name, address] : peers_) {
    order.emplace_back(hash64(name.value() + "/" + self_.value()), address);
  }
  std::sort(order.begin(), order.end());
  if (order.size() > settings_.most_peers) order.resize(settings_.most_peers);
  std::vector<std::string> targets;
  targets.reserve(order.size());
  for (auto& [weight, address] : order) targets.push_back(std::move(address));
  return targets;
}

void LoadExchange::schedule_flush() {
  if (flush_timer_) return;
  flush_timer_ = runtime_.after(settings_.flush_delay, [this] {
    flush_timer_.reset();
    flush();
  });
}

void LoadExchange::flush() {
  LoadMessage message;
  message.node = self_;
  message.boot = boot_;
  message.sequence = ++sequence_;
  message.load = node_.engines().own_load();
  message.reads = node_.take_prompt_reads();
  had_load_ = !message.load.empty();
  std::string bytes = encode(message);
  if (bytes.size() > kMaxLoadMessage) {
    message.reads.clear();
    bytes = encode(message);
  }
  if (bytes.size() > kMaxLoadMessage) return;
  for (const std::string& address : targets()) transport_.send(address, bytes);
}

void LoadExchange::on_message(std::string_view bytes) {
  auto message = decode_load_message(bytes);
  if (!message || message->node == self_) return;
  Heard& heard = heard_[message->node];
  if (heard.boot == message->boot && message->sequence <= heard.sequence) return;
  heard = {message->boot, message->sequence};
  const MonotonicTime now = runtime_.now();
  node_.engines().on_peer_load(now, message->node, std::move(message->load));
  for (const PromptRead& read : message->reads) node_.learn_prompt_read(read);
}

}  // namespace shuntbank::relay
