// Machines are replaced one after another for good. Then many processes are killed at once, and an
// engine says that it leaves at that moment. Counted are requests that undisturbed nodes send it
// over two seconds after the store has acknowledged that.
#include "lab.hpp"

#include <map>

using namespace lab;
using asio::ip::tcp;

namespace {

constexpr int kMachines = 8;
constexpr int kCallers = 18;  // About 230 requests a second; the sheet of the site has 216.
constexpr int kReplacements = 24;
constexpr auto kReplacedAfter = 2000ms;  // x of replace_core at the site.
constexpr int kRounds = 5;
constexpr double kDrainSeconds = 2.0;
constexpr double kContactSeconds = 3.0;
constexpr auto kDown = 2s;

struct Machine {
  std::unique_ptr<Node> node;
  std::unique_ptr<ReadyProbe> probe;
  double disturbed_at = 0;  ///< Start or kill, seconds of the record.
};

struct Site {
  asio::io_context loop;
  Record* record = nullptr;
  std::vector<std::unique_ptr<Machine>> machines;  ///< Those that live.
  std::vector<std::unique_ptr<Machine>> gone;
  std::map<std::string, double> leaving;  ///< Engine, and when its leaving was acknowledged.
  std::uint64_t sent = 0, answered = 0, late = 0;
  double latest = 0;

  const Machine* by_ip(const std::string& ip) const {
    for (const auto& machine : this->machines)
      if (machine->node->ip == ip) return machine.get();
    return nullptr;
  }

  void on_arrival(const std::string& engine, const std::string& from, const std::string& request) {
    const auto found = this->leaving.find(engine);
    if (found == this->leaving.end()) return;
    const double now = this->record->now();
    const double after = now - found->second;
    const Machine* machine = this->by_ip(from);
    if (after <= kDrainSeconds || machine == nullptr) return;
    if (now - machine->disturbed_at <= kContactSeconds) return;
    ++this->late;
    this->latest = std::max(this->latest, after);
    this->record->line("DRAIN: " + request + " reaches " + engine + " " + std::to_string(after) +
                       " s after its leaving was acknowledged, from " + machine->node->name);
  }
};

/// Asks one machine again and again, on one kept connection.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Site& own_site, int own_number)
      : site(own_site), number(own_number), timer(own_site.loop) {}
  void begin(std::chrono::milliseconds delay) {
    this->timer.expires_after(delay);
    this->timer.async_wait([self = this->shared_from_this()](auto error) {
      if (!error) self->send();
    });
  }

 private:
  void send() {
    this->input.clear();
    if (!this->socket) {
      std::vector<Machine*> in;
      for (const auto& machine : this->site.machines)
        if (machine->probe->in() && machine->node->process > 0) in.push_back(machine.get());
      if (in.empty()) return this->begin(100ms);
      this->socket = std::make_shared<tcp::socket>(this->site.loop);
      const Machine* chosen = in[static_cast<std::size_t>(this->number) % in.size()];
      this->socket->async_connect(chosen->node->front_endpoint(),
                                  [self = this->shared_from_this(), used = this->socket](auto error) {
                                    if (used != self->socket) return;
                                    if (error) return self->fail();
                                    self->write();
                                  });
      return;
    }
    this->write();
  }
  void write() {
    ++this->site.sent;
    this->text = "GET /safe/" + std::to_string(this->number) + " HTTP/1.1\r\nHost: lab.example\r\n" +
                 names().request_id + ": c" + std::to_string(this->number) + "-" +
                 std::to_string(++this->round) + "\r\n" + names().deadline_ms + ": 1000\r\n\r\n";
    asio::async_write(*this->socket, asio::buffer(this->text),
                      [self = this->shared_from_this()](auto, auto) {});
    this->timer.expires_after(1500ms);
    this->timer.async_wait([self = this->shared_from_this(), used = this->socket](auto error) {
      if (!error && used == self->socket) self->fail();
    });
    asio::async_read_until(*this->socket, asio::dynamic_buffer(this->input), "whole",
                           [self = this->shared_from_this(), used = this->socket](auto error, auto) {
                             if (used != self->socket) return;
                             if (error) return self->fail();
                             ++self->site.answered;
                             self->begin(60ms);
                           });
  }
  void fail() {
    std::error_code ignored;
    if (this->socket) this->socket->close(ignored);
    this->socket.reset();
    this->begin(200ms);
  }
  Site& site;
  int number, round = 0;
  asio::steady_timer timer;
  std::shared_ptr<tcp::socket> socket;
  std::string text, input;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const bool trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
  Record record(argv[1]);
  const std::string folder = argv[2];
  Site site;
  site.record = &record;
  shuntbank::testing::StoreStandin store(site.loop);
  int version = 1;
  const json routes = json::array({route("safe", "/safe/", "safe", "plain", 1000, 2)});
  store.put("config", "main", configuration(version, routes));
  std::vector<std::unique_ptr<Engine>> engines;
  int engine_number = 0;
  const auto add_engine = [&] {
    const std::string id = "engine-" + std::to_string(++engine_number);
    engines.push_back(std::make_unique<Engine>(
        site.loop, store, id, "plain", [&site, id](const HttpRequest& request, const auto& responder) {
          site.on_arrival(id, request.caller, std::string(request.headers.get(names().request_id)));
          auto timer = std::make_shared<asio::steady_timer>(site.loop, 15ms);
          timer->async_wait([timer, request, responder, id](auto) {
            answer(request, responder, 200, "whole", id);
          });
        }));
  };
  for (int i = 0; i < 4; ++i) add_engine();
  const std::string at = "127.0.0.1:" + std::to_string(store.endpoint().port());
  int machine_number = 0;
  const auto add_machine = [&](const std::string& zone, bool bootstrap) -> Machine& {
    const int number = ++machine_number;
    auto machine = std::make_unique<Machine>();
    machine->node = std::make_unique<Node>(folder, "front-" + zone + "-" + std::to_string(number),
                                           zone, network() + std::to_string(number), at);
    machine->node->start(bootstrap);
    machine->disturbed_at = record.now();
    machine->probe = std::make_unique<ReadyProbe>(site.loop, *machine->node);
    site.machines.push_back(std::move(machine));
    return *site.machines.back();
  };
  for (int i = 0; i < kMachines; ++i) add_machine(std::string(1, static_cast<char>('a' + i % 3)), true);
  const auto all_in = [&] {
    return std::all_of(site.machines.begin(), site.machines.end(),
                       [](const auto& machine) { return machine->probe->in(); });
  };
  if (!wait_until(site.loop, all_in, 15s)) return 2;
  record.line("8 nodes are ready");
  std::vector<std::shared_ptr<Caller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_shared<Caller>(site, i));
    callers.back()->begin(std::chrono::milliseconds(i));
  }
  // Each comes back at another address `kReplacedAfter` later, so that two at most are missing.
  std::vector<std::shared_ptr<asio::steady_timer>> replacements;
  for (int i = 0; trouble && i < kReplacements; ++i) {
    auto old = std::move(site.machines.front());
    site.machines.erase(site.machines.begin());
    old->node->stop(SIGKILL);
    record.line(old->node->name + " is gone for good");
    replacements.push_back(std::make_shared<asio::steady_timer>(site.loop, kReplacedAfter));
    replacements.back()->async_wait([&, zone = old->node->zone](auto error) {
      if (!error) record.line(add_machine(zone, false).node->name + " starts");
    });
    site.gone.push_back(std::move(old));
    wait(site.loop, 1100ms);
  }
  wait(site.loop, kReplacedAfter + 200ms);
  wait(site.loop, 14s);
  if (!wait_until(site.loop, all_in, 10s)) return 2;
  for (int round = 0; round < kRounds; ++round) {
    // Routine work that changes no route; a new engine for the one that will leave.
    store.put("config", "main", configuration(++version, routes));
    add_engine();
    wait(site.loop, 250ms);
    std::vector<Machine*> killed;
    for (int i = 0; trouble && i < 4; ++i) {
      Machine& machine =
          *site.machines[static_cast<std::size_t>(2 * i + round) % site.machines.size()];
      machine.node->signal(SIGKILL);
      killed.push_back(&machine);
    }
    for (Machine* machine : killed) {
      machine->node->stop(SIGKILL);
      machine->disturbed_at = record.now();
      record.line(machine->node->name + " is killed");
    }
    Engine& leaver = *engines[static_cast<std::size_t>(round)];
    leaver.publish("draining");
    site.leaving[leaver.id] = record.now();
    record.line(leaver.id + " leaves: acknowledged by the store");
    wait(site.loop, kDown);
    for (Machine* machine : killed) {
      machine->node->start(false);
      machine->disturbed_at = record.now();
    }
    wait(site.loop, 3s);
    store.remove("servers", leaver.id);
    wait(site.loop, 3s);
    record.line("sent " + std::to_string(site.sent) + " answered " + std::to_string(site.answered) +
                " late at a leaving engine " + std::to_string(site.late));
  }
  std::ostringstream result;
  result << site.late << " requests reached a leaving engine over 2 s after the acknowledgement, the "
         << "last " << site.latest << " s; sent " << site.sent << " answered " << site.answered;
  record.line(result.str());
  std::puts(result.str().c_str());
  if (site.answered < 1000) return 2;
  record.line(site.late > 0 ? "DRAIN broken" : "DRAIN held");
  return site.late > 0 ? 1 : 0;
}
