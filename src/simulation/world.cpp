#include "simulation/world.hpp"

#include <algorithm>
#include <ctime>

namespace shuntbank::simulation {
namespace {

/// Wall-clock time at monotonic time zero, in milliseconds since the Unix epoch.
constexpr std::uint64_t kStartUnixMilliseconds = 1'790'000'000'000;

/// @return the CPU time of this thread, in seconds.
double thread_cpu_seconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Timer of a simulated process. Its destruction clears a flag that the scheduled event checks.
class SimulatedTimer : public Timer {
 public:
  explicit SimulatedTimer(std::shared_ptr<bool> alive) : alive_(std::move(alive)) {}
  ~SimulatedTimer() override { *alive_ = false; }
  SimulatedTimer(const SimulatedTimer&) = delete;
  SimulatedTimer& operator=(const SimulatedTimer&) = delete;

 private:
  std::shared_ptr<bool> alive_;
};

}  // namespace

MonotonicTime Process::now() const {
  return world_.now();
}

std::uint64_t Process::unix_milliseconds() const {
  const Duration since_epoch = world_.now().time_since_epoch();
  return kStartUnixMilliseconds + static_cast<std::uint64_t>(since_epoch.count() / 1000);
}

std::unique_ptr<Timer> Process::after(Duration delay, std::function<void()> function) {
  auto alive = std::make_shared<bool>(true);
  auto self = world_.find(address_);
  world_.schedule_at(world_.now() + std::max(delay, Duration(1)),
                     [self, alive, function = std::move(function)] {
                       if (!*alive) return;
                       self->run([alive, function] {
                         if (*alive) function();
                       });
                     });
  return std::make_unique<SimulatedTimer>(alive);
}

void Process::post(std::function<void()> function) {
  auto self = world_.find(address_);
  world_.schedule_at(world_.now(), [self, function = std::move(function)] { self->run(function); });
}

std::string Process::random_hex(std::size_t bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < bytes * 2; ++i) text += kDigits[world_.random()() % kDigits.size()];
  return text;
}

void Process::run(std::function<void()> function) {
  if (!alive_) return;
  if (frozen_ || !deferred_.empty()) {
    deferred_.push_back(std::move(function));
    return;
  }
  run_measured(function);
}

void Process::run_measured(const std::function<void()>& function) {
  if (running_) return function();
  running_ = true;
  const double before = thread_cpu_seconds();
  function();
  processor_seconds += thread_cpu_seconds() - before;
  running_ = false;
}

void Process::kill() {
  if (!std::exchange(alive_, false)) return;
  deferred_.clear();
  for (const auto& handler : std::exchange(kill_handlers_, {})) handler();
}

void Process::thaw() {
  frozen_ = false;
  while (!deferred_.empty() && !frozen_ && alive_) {
    const auto function = std::move(deferred_.front());
    deferred_.pop_front();
    run_measured(function);
  }
}

World::World(std::uint64_t seed, const NetworkSettings& network)
    : random_(seed), network_(network) {}

ProcessPointer World::start(const std::string& address) {
  auto process = std::make_shared<Process>(*this, address);
  processes_[address] = process;
  return process;
}

ProcessPointer World::find(const std::string& address) const {
  const auto found = processes_.find(address);
  return found == processes_.end() ? nullptr : found->second;
}

void World::schedule_at(MonotonicTime time, std::function<void()> function) {
  events_.push({std::max(time, now_), ++sequence_, std::move(function)});
}

void World::stop() {
  for (const auto& [address, process] : processes_) process->kill();
  // Destroying dropped events may schedule further ones, hence the loop.
  while (!events_.empty()) std::exchange(events_, {});
}

bool World::step(MonotonicTime end) {
  if (events_.empty() || events_.top().time > end) {
    now_ = std::max(now_, end);
    return false;
  }
  const Event event = events_.top();
  events_.pop();
  now_ = event.time;
  event.function();
  return true;
}

void World::run_until(MonotonicTime end) {
  while (step(end)) {
  }
}

std::pair<std::string, std::string> World::link(const std::string& a, const std::string& b) {
  return a < b ? std::pair(a, b) : std::pair(b, a);
}

void World::cut(const std::string& a, const std::string& b) {
  cut_links_.insert(link(a, b));
}
void World::heal(const std::string& a, const std::string& b) {
  cut_links_.erase(link(a, b));
}

bool World::is_cut(const std::string& a, const std::string& b) const {
  return !cut_links_.empty() && cut_links_.contains(link(a, b));
}

Duration World::random_delay() {
  const auto range =
      static_cast<std::uint64_t>((network_.max_delay - network_.min_delay).count() + 1);
  return network_.min_delay + Duration(static_cast<std::int64_t>(random_() % range));
}

bool World::chance(double probability) {
  constexpr std::uint64_t kResolution = 1'000'000;
  return static_cast<double>(random_() % kResolution) < probability * kResolution;
}

/// One request and its reply, whose pieces arrive in order.
class SimulatedHttpClient::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(ProcessPointer client, OutgoingRequest request, TransferHandlers handlers)
      : client_(std::move(client)), request_(std::move(request)), handlers_(std::move(handlers)) {}

  void begin() {
    World& world = client_->world();
    const std::string address = server_address();
    server_ = world.find(address);
    if (world.is_cut(client_->address(), address)) {
      return deliver_to_client(request_.connect_timeout, [](Exchange& self) {
        self.fail(TransferFailure::kNothingSent, "connect timeout");
      });
    }
    if (!server_ || !server_->alive() || !server_->listening) {
      return deliver_to_client(world.random_delay(), [](Exchange& self) {
        self.fail(TransferFailure::kNothingSent, "connection refused");
      });
    }
    server_->on_killed([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->on_server_killed();
    });
    client_->on_killed([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->close_from_client();
    });
    world.schedule_at(world.now() + world.random_delay(),
                      [self = shared_from_this()] { self->deliver_request(); });
    restart_idle_timer();
    if (request_.total_timeout > Duration::zero()) {
      total_timer_ = client_->after(request_.total_timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->time_out();
      });
    }
  }

  /// Closes the client's end. The server is notified after a network delay.
  void close_from_client() {
    if (std::exchange(client_closed_, true)) return;
    total_timer_.reset();
    idle_timer_.reset();
    World& world = client_->world();
    world.schedule_at(world.now() + world.random_delay(), [self = shared_from_this()] {
      if (!self->server_) return;
      self->server_->run([self] {
        const auto handler = std::exchange(self->on_closed, nullptr);
        if (handler) handler();
      });
    });
  }

  void resume() {
    paused_ = false;
    while (!paused_arrivals_.empty() && !paused_ && !client_closed_) {
      const auto arrival = std::move(paused_arrivals_.front());
      paused_arrivals_.pop_front();
      arrival(*this);
    }
  }

  /// Sends from the server to the client, after everything sent before.
  void send_to_client(std::function<void(Exchange&)> arrival) {
    World& world = client_->world();
    // A connection hit by a cut delivers nothing more, so the client runs into its timeout.
    link_cut_ = link_cut_ || world.is_cut(client_->address(), server_->address());
    if (link_cut_ || !server_->alive()) return;
    last_arrival_ = std::max(last_arrival_, world.now() + world.random_delay());
    world.schedule_at(last_arrival_, [self = shared_from_this(), arrival = std::move(arrival)] {
      self->client_->run([self, arrival] { self->arrive(arrival); });
    });
  }

  void headers_arrived(int status, const HttpHeaders& headers) {
    if (handlers_.on_headers) handlers_.on_headers(status, headers);
  }

  void piece_arrived(const std::string& piece) {
    if (handlers_.on_data(piece)) return;
    paused_ = true;
    paused_arrivals_.push_front([piece](Exchange& self) { self.piece_arrived(piece); });
  }

  void finished() { end({}); }

  void fail(TransferFailure failure, const std::string& message) {
    end(tl::make_unexpected(TransferError{failure, message}));
  }

  std::function<void()> on_closed;  ///< Notifies the server's request handler.
  std::function<void()> on_ended;   ///< Removes this exchange from the client.

 private:
  std::string server_address() const {
    const std::string rest = request_.url.substr(std::string("http://").size());
    return rest.substr(0, rest.find('/'));
  }

  HttpRequest received_request() const {
    HttpRequest request;
    const std::string rest = request_.url.substr(std::string("http://").size());
    const std::string target = rest.substr(rest.find('/'));
    const std::size_t query_start = std::min(target.find('?'), target.size());
    request.method = request_.method;
    request.path = target.substr(0, query_start);
    request.query = query_start < target.size() ? target.substr(query_start + 1) : "";
    request.headers = request_.headers;
    request.body = request_.body;
    return request;
  }

  void deliver_request();

  void deliver_to_client(Duration delay, std::function<void(Exchange&)> arrival) {
    World& world = client_->world();
    world.schedule_at(world.now() + delay,
                      [self = shared_from_this(), arrival = std::move(arrival)] {
                        self->client_->run([self, arrival] { self->arrive(arrival); });
                      });
  }

  void arrive(const std::function<void(Exchange&)>& arrival) {
    if (client_closed_) return;
    if (paused_) {
      paused_arrivals_.push_back(arrival);
      return;
    }
    restart_idle_timer();
    arrival(*this);
  }

  void restart_idle_timer() {
    if (request_.idle_timeout == Duration::zero()) return;
    idle_timer_ = client_->after(request_.idle_timeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->time_out();
    });
  }

  void time_out() {
    if (client_closed_) return;
    fail(TransferFailure::kUncertain, "timeout");
  }

  void on_server_killed() {
    // The reset arrives after the data already sent, as in TCP.
    World& world = client_->world();
    last_arrival_ = std::max(last_arrival_, world.now() + world.random_delay());
    deliver_to_client(last_arrival_ - world.now(), [](Exchange& self) {
      self.fail(TransferFailure::kUncertain, "connection reset");
    });
  }

  void end(const tl::expected<void, TransferError>& result) {
    if (client_closed_) return;
    close_from_client();
    if (on_ended) on_ended();
    if (handlers_.on_done) handlers_.on_done(result);
  }

  ProcessPointer client_;
  ProcessPointer server_;
  OutgoingRequest request_;
  TransferHandlers handlers_;
  MonotonicTime last_arrival_{};
  std::deque<std::function<void(Exchange&)>> paused_arrivals_;  ///< Arrived while paused.
  bool paused_ = false;
  bool link_cut_ = false;
  bool client_closed_ = false;
  std::unique_ptr<Timer> total_timer_;
  std::unique_ptr<Timer> idle_timer_;
};

/// Server side of an exchange.
class SimulatedHttpClient::Responder : public HttpResponder {
 public:
  explicit Responder(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}
  ~Responder() override {
    if (ended_) return;
    if (stream_started_) {
      finish();
    } else {
      respond({500, {}, ""});
    }
  }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void respond(HttpReply reply) override {
    if (std::exchange(ended_, true)) return;
    exchange_->on_closed = nullptr;
    exchange_->send_to_client([reply = std::move(reply)](Exchange& exchange) {
      exchange.headers_arrived(reply.status, reply.headers);
      if (!reply.body.empty()) exchange.piece_arrived(reply.body);
      exchange.finished();
    });
  }

  void begin_stream(int status, const HttpHeaders& headers) override {
    stream_started_ = true;
    exchange_->send_to_client(
        [status, headers](Exchange& exchange) { exchange.headers_arrived(status, headers); });
  }

  void write(std::string_view piece) override {
    if (ended_) return;
    exchange_->send_to_client(
        [piece = std::string(piece)](Exchange& exchange) { exchange.piece_arrived(piece); });
  }

  std::size_t pending_bytes() const override { return 0; }
  void on_drained(std::function<void()>) override {}

  void finish() override {
    if (std::exchange(ended_, true)) return;
    exchange_->on_closed = nullptr;
    exchange_->send_to_client([](Exchange& exchange) { exchange.finished(); });
  }

  void on_closed(std::function<void()> handler) override {
    exchange_->on_closed = [this, handler = std::move(handler)] {
      ended_ = true;
      handler();
    };
  }

 private:
  std::shared_ptr<Exchange> exchange_;
  bool stream_started_ = false;
  bool ended_ = false;
};

void SimulatedHttpClient::Exchange::deliver_request() {
  if (client_->world().is_cut(client_->address(), server_->address())) return;
  server_->run([self = shared_from_this()] {
    self->server_->http_handler(self->received_request(), std::make_shared<Responder>(self));
  });
}

SimulatedHttpClient::~SimulatedHttpClient() {
  for (const auto& [id, exchange] : open_exchanges_) {
    exchange->on_ended = nullptr;
    exchange->close_from_client();
  }
}

TransferId SimulatedHttpClient::start(OutgoingRequest request, TransferHandlers handlers) {
  const TransferId id = ++last_id_;
  auto exchange = std::make_shared<Exchange>(process_, std::move(request), std::move(handlers));
  open_exchanges_[id] = exchange;
  exchange->on_ended = [this, id] { open_exchanges_.erase(id); };
  exchange->begin();
  return id;
}

void SimulatedHttpClient::cancel(TransferId id) {
  const auto found = open_exchanges_.find(id);
  if (found == open_exchanges_.end()) return;
  const auto exchange = found->second;
  open_exchanges_.erase(found);
  exchange->close_from_client();
}

void SimulatedHttpClient::resume(TransferId id) {
  const auto found = open_exchanges_.find(id);
  if (found != open_exchanges_.end()) found->second->resume();
}

void SimulatedTransport::set_handlers(DatagramHandler on_datagram, CallHandler on_call) {
  process_->datagram_handler = std::move(on_datagram);
  process_->call_handler = std::move(on_call);
}

void SimulatedTransport::send(const std::string& address, std::string_view text) {
  World& world = process_->world();
  process_->datagram_bytes_sent += text.size();
  ++process_->messages_sent;
  const int copies = world.chance(world.network().datagram_duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (world.is_cut(process_->address(), address)) continue;
    if (world.chance(world.network().datagram_loss)) continue;
    world.schedule_at(
        world.now() + world.random_delay(),
        [&world, address, sender = process_->address(), message = std::string(text)] {
          const auto target = world.find(address);
          if (!target || !target->datagram_handler) return;
          target->datagram_bytes_received += message.size();
          target->run([target, message, sender] { target->datagram_handler(message, sender); });
        });
  }
}

void SimulatedTransport::call(const std::string& address, std::string text, Duration timeout,
                              AnswerHandler handler) {
  World& world = process_->world();
  process_->call_bytes_sent += text.size();
  // The handler is called once, by the answer or the timeout, whichever comes first.
  auto pending = std::make_shared<AnswerHandler>(std::move(handler));
  const auto finish = [client = process_, pending](tl::expected<std::string, std::string> result) {
    client->run([client, pending, result = std::move(result)] {
      const auto call_once = std::exchange(*pending, nullptr);
      if (!call_once) return;
      if (result) client->call_bytes_received += result->size();
      call_once(result);
    });
  };
  world.schedule_at(world.now() + timeout,
                    [finish] { finish(tl::make_unexpected(std::string("timeout"))); });
  const std::string own_address = process_->address();
  world.schedule_at(world.now() + world.random_delay(), [&world, address, own_address, finish,
                                                         text = std::move(text)] {
    if (world.is_cut(own_address, address)) return;
    const auto target = world.find(address);
    if (!target || !target->alive() || !target->call_handler) {
      return finish(tl::make_unexpected(std::string("refused")));
    }
    target->call_bytes_received += text.size();
    target->run([&world, target, own_address, finish, text] {
      target->call_handler(text, [&world, target, own_address, finish](const std::string& answer) {
        if (world.is_cut(own_address, target->address())) return;
        target->call_bytes_sent += answer.size();
        world.schedule_at(world.now() + world.random_delay(), [finish, answer] {
          if (answer.empty()) return finish(tl::make_unexpected(std::string("no answer")));
          finish(answer);
        });
      });
    });
  });
}

}  // namespace shuntbank::simulation
