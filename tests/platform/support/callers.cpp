#include "platform/support/callers.hpp"

#include <charconv>
#include <utility>

namespace shuntbank::testing {
namespace {

constexpr std::chrono::milliseconds kDeadline{4000};
constexpr std::chrono::milliseconds kAskReady{1000};
constexpr int kMissesOut = 2;
constexpr std::size_t kShared = 12;  ///< Prompt parts that requests share.

OutgoingRequest get(const std::string& address, const std::string& target) {
  OutgoingRequest request;
  request.url = "http://" + address + target;
  request.connect_timeout = std::chrono::seconds(1);
  request.total_timeout = std::chrono::seconds(1);
  return request;
}

}  // namespace

/// One request under way.
struct Callers::Call {
  SentByCaller request;
  int status = 0;
  std::string seal;
  bool may_come_back = false;
  std::string body;
  std::string buffer;  ///< Of a stream: behind the last whole event.
  std::uint64_t last = 0;
  TransferId transfer = 0;
  std::unique_ptr<asio::steady_timer> leave;
  std::function<void(bool failed)> on_end;  ///< Set for a request that counts with no others.
};

Callers::Callers(asio::io_context& own_loop, Ledger& own_ledger, std::vector<EntryNode> nodes,
                 std::uint64_t seed)
    : loop(own_loop),
      ledger(own_ledger),
      http(own_loop, {}),
      entry(std::move(nodes)),
      random(seed),
      ready_timer(own_loop) {}

void Callers::start(std::size_t callers) {
  this->ask_ready();
  for (std::size_t i = 0; i < callers; ++i) this->next_after(std::chrono::milliseconds(i));
}

void Callers::ask_ready() {
  for (std::size_t i = 0; i < this->entry.size(); ++i) this->ask_ready(i);
  this->ready_timer.expires_after(kAskReady);
  this->ready_timer.async_wait([this](const std::error_code& error) {
    if (!error && !this->stopped) this->ask_ready();
  });
}

void Callers::ask_ready(std::size_t index) {
  this->http.fetch(get(this->entry[index].ready, "/v1/ready"), [this, index](const auto& reply) {
    EntryNode& node = this->entry[index];
    const bool good = reply && reply->status == 200;
    node.misses = good ? 0 : node.misses + 1;
  });
}

/// When no node is in, all are used.
const EntryNode* Callers::choose() {
  std::vector<const EntryNode*> in;
  for (const EntryNode& node : this->entry) {
    if (node.misses < kMissesOut) in.push_back(&node);
  }
  if (!in.empty()) return in[this->random() % in.size()];
  return &this->entry[this->random() % this->entry.size()];
}

void Callers::next_after(std::chrono::milliseconds pause) {
  if (this->stopped) return;
  auto timer = std::make_shared<asio::steady_timer>(this->loop, pause);
  timer->async_wait([this, timer](const std::error_code& error) {
    if (!error && !this->stopped) this->send();
  });
}

SentByCaller Callers::draw_request() {
  SentByCaller request;
  request.id = "r" + std::to_string(++this->drawn) + "-" + std::to_string(this->random() % 100000);
  request.method = "POST";
  request.body = "body of " + request.id;
  const std::uint64_t kind = this->random() % 8;
  const std::string query = "?q=" + request.id + "%2f;x";
  if (kind < 3) {
    request.target = "/stream/a%20b" + query;
    request.service = "model";
    request.repeatable = true;
  } else if (kind < 5) {
    request.target = "/ask/" + query;
    request.service = "model";
  } else if (kind < 7) {
    request.target = "/once/" + query;
    request.service = "plain";
  } else {
    request.method = "GET";
    request.body.clear();
    request.target = "/safe/" + query;
    request.service = "plain";
    request.repeatable = true;
  }
  if (request.service == "model") request.pieces = 2 + this->random() % 18;
  return request;
}

void Callers::send() {
  this->call(this->draw_request(), nullptr);
}

void Callers::send_deadly(const std::string& name, bool again) {
  SentByCaller request;
  request.id = "d" + std::to_string(++this->drawn) + "-" + name;
  request.method = "POST";
  request.target = Ledger::kDeadlyPath;
  request.body = name;
  request.service = "model";
  request.repeatable = true;
  request.pieces = 2;
  this->call(request, [this, name, again](bool failed) {
    if (failed && again && !this->stopped) this->send_deadly(name, false);
  });
}

void Callers::call(const SentByCaller& request, std::function<void(bool failed)> on_end) {
  const EntryNode* node = this->choose();
  const auto call = std::make_shared<Call>();
  call->request = request;
  call->on_end = std::move(on_end);
  call->request.node = node->callers;
  call->request.at = monotonic_now();
  this->ledger.sent(call->request);
  OutgoingRequest outgoing;
  outgoing.method = call->request.method;
  outgoing.url = "http://" + node->callers + call->request.target;
  outgoing.body = call->request.body;
  outgoing.connect_timeout = std::chrono::seconds(1);
  outgoing.total_timeout = kDeadline;
  outgoing.headers.add("Host", "soak.example");
  outgoing.headers.add("X-Request-Id", call->request.id);
  outgoing.headers.add("X-Deadline-Ms", std::to_string(kDeadline.count()));
  if (call->request.pieces > 0) {
    outgoing.headers.add("X-Model", "m");
    outgoing.headers.add("X-Token-Counts", "2400,80");
    const std::string shared = std::to_string(1 + this->random() % kShared);
    outgoing.headers.add("X-Prompt-Prefix",
                         "a" + shared + ":1600,f" + std::to_string(this->drawn) + ":800");
  }
  TransferHandlers handlers;
  handlers.on_headers = [this, call](int status, const HttpHeaders& headers) {
    call->status = status;
    call->seal = std::string(headers.get("X-Response-Seal"));
    call->may_come_back = headers.count("Retry-After") > 0;
    if (headers.count("Server-Leaving") > 0) this->ledger.got_word_of_leaving(call->seal);
    if (headers.count("Server-Limit") > 0) this->ledger.got_limit(call->seal);
  };
  handlers.on_data = [this, call](std::string_view piece) {
    this->on_data(call, piece);
    return true;
  };
  handlers.on_done = [this, call](const auto& result) { this->on_done(call, result.has_value()); };
  ++this->open;
  call->transfer = this->http.start(std::move(outgoing), std::move(handlers));
  if (call->on_end) return;
  const double drawn_share = std::uniform_real_distribution<double>(0, 1)(this->random);
  if (drawn_share >= this->leaving) return;
  call->leave = std::make_unique<asio::steady_timer>(
      this->loop, std::chrono::milliseconds(20 + this->random() % 400));
  call->leave->async_wait([this, call](const std::error_code& error) {
    if (error) return;
    this->http.cancel(call->transfer);
    ++this->totals.left;
    --this->open;
    this->next_after(std::chrono::milliseconds(10));
  });
}

void Callers::on_data(const CallPointer& call, std::string_view piece) {
  const bool stream = call->request.pieces > 0 && call->status == 200;
  if (!stream) {
    call->body += piece;
    return;
  }
  call->buffer += piece;
  for (std::size_t end = call->buffer.find("\n\n"); end != std::string::npos;
       end = call->buffer.find("\n\n")) {
    this->on_event(call, call->buffer.substr(0, end));
    call->buffer.erase(0, end + 2);
  }
}

void Callers::on_event(const CallPointer& call, const std::string& event) {
  ++call->last;
  const std::string head = "id: " + std::to_string(call->last) + "\ndata: ";
  const bool in_order = event.rfind(head, 0) == 0;
  this->ledger.got_event(call->request.id, call->last,
                         in_order ? event.substr(head.size()) : event);
}

void Callers::check_answer(const CallPointer& call) {
  this->ledger.got_answer(call->request.id, call->status, call->seal, call->body);
  const bool stream = call->request.pieces > 0 && call->status == 200;
  if (stream) this->ledger.got_stream_end(call->request.id, call->last);
  if ((call->status == 503 || call->status == 429) && !call->may_come_back) {
    this->ledger.broke("COME BACK", call->request.id + ": a refusal without a time");
  }
}

void Callers::on_done(const CallPointer& call, bool whole) {
  if (call->leave) call->leave->cancel();
  call->leave.reset();
  --this->open;
  if (whole) this->check_answer(call);
  const bool good = whole && call->status == 200;
  if (call->on_end) return call->on_end(!whole || call->status >= 500);
  const bool refused = whole && call->status == 503;
  ++(good ? this->totals.whole : refused ? this->totals.refused : this->totals.failed);
  this->next_after(std::chrono::milliseconds(refused ? 250 : this->random() % 40));
}

void Callers::probe(const EntryNode& node, const std::string& target,
                    std::function<void(int status)> on_status) {
  OutgoingRequest request = get(node.callers, target);
  SentByCaller sent;
  sent.id = "p" + std::to_string(++this->drawn);
  sent.method = "GET";
  sent.target = target;
  sent.service = "plain";
  sent.repeatable = true;
  sent.node = node.callers;
  sent.at = monotonic_now();
  this->ledger.sent(sent);
  request.headers.add("Host", "soak.example");
  request.headers.add("X-Request-Id", sent.id);
  this->http.fetch(std::move(request),
                   [on_status](const auto& reply) { on_status(reply ? reply->status : 0); });
}

}  // namespace shuntbank::testing
