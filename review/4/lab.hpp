// Shared parts of the cases: the store's stand-in of this repository, a plain engine, the node
// program as a separate process, and a record of what was sent, answered and run.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "net/http1_server.hpp"
#include "platform/dialect.hpp"
#include "platform/settings.hpp"
#include "platform/support/store_standin.hpp"

namespace lab {

using namespace std::chrono_literals;
using nlohmann::json;
using shuntbank::ConnectionResponder;
using shuntbank::HttpHeaders;
using shuntbank::HttpReply;
using shuntbank::HttpRequest;
using Clock = std::chrono::steady_clock;

inline const shuntbank::relay::HeaderNames& names() {
  static const shuntbank::platform_adapter::PlatformDialect dialect;
  return dialect.names();
}

/// The record of a run; seconds since its start stand before each line.
class Record {
 public:
  explicit Record(const std::string& path) : file(path), start(Clock::now()) {}
  double now() const { return std::chrono::duration<double>(Clock::now() - this->start).count(); }
  void line(const std::string& text) {
    char head[32];
    std::snprintf(head, sizeof(head), "%9.3f ", this->now());
    this->file << head << text << "\n";
    this->file.flush();
  }

 private:
  std::ofstream file;
  Clock::time_point start;
};

/// First three octets of this run's addresses, so that runs beside each other do not meet.
inline std::string network() {
  const int process = getpid();
  return "127." + std::to_string(20 + process % 200) + "." +
         std::to_string(1 + process / 200 % 250) + ".";
}

inline std::uint16_t free_port(const std::string& ip) {
  static std::set<std::uint16_t> drawn;
  while (true) {
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    const bool bound =
        ::bind(handle, generic, size) == 0 && ::getsockname(handle, generic, &size) == 0;
    ::close(handle);
    if (!bound) throw std::runtime_error("no free port on " + ip);
    if (drawn.insert(ntohs(address.sin_port)).second) return ntohs(address.sin_port);
  }
}

/// One node: the program of the deploy file with a settings file of its own.
class Node {
 public:
  Node(std::string folder, std::string own_name, std::string own_zone, std::string own_ip,
       std::string store, int own_memory_mb = 260)
      : folder(std::move(folder)),
        name(std::move(own_name)),
        zone(std::move(own_zone)),
        ip(std::move(own_ip)),
        store_address(std::move(store)),
        memory_mb(own_memory_mb),
        front(free_port(ip)),
        ready(free_port(ip)),
        control(free_port(ip)),
        peers(free_port(ip)) {}
  ~Node() { this->stop(SIGKILL); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void start(bool bootstrap) {
    const std::string path = this->folder + "/" + this->name + ".conf";
    std::ofstream file(path, std::ios::trunc);
    file << "node=" << this->name << "\nrole=relay\nmachine_class=front\nserves=front,control\nip="
         << this->ip << "\nzone=" << this->zone << "\nregion=r\nlisten.front=" << this->ip << ":"
         << this->front << "\nlisten.ready=" << this->ip << ":" << this->ready
         << "\nlisten.control=" << this->ip << ":" << this->control
         << "\nport_range=" << this->peers << "," << this->peers
         << "\nbootstrap=" << (bootstrap ? "true" : "false")
         << "\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=" << this->memory_mb
         << "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nheartbeat_ms=1200"
         << "\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_apply_ms=2000"
         << "\nbounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=54"
         << "\nbounds.lease_ms=3000\nbounds.contact_ms=3000\nplatform.addr=" << this->store_address
         << "\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n";
    file.close();
    const std::string log = this->folder + "/" + this->name + ".log";
    std::string program = std::getenv("NODE_PROGRAM");
    std::string variable =
        std::string(shuntbank::platform_adapter::kSettingsVariable) + "=" + path;
    char* arguments[] = {program.data(), nullptr};
    char* environment[] = {variable.data(), nullptr};
    const pid_t parent = getpid();
    this->process = ::fork();
    if (this->process < 0) throw std::runtime_error("cannot start " + program);
    if (this->process > 0) return;
    // A node neither outlives the case nor holds its sockets open.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    ::close_range(3, ~0U, 0);
    ::execve(program.c_str(), arguments, environment);
    ::_exit(127);
  }
  void signal(int number) const {
    if (this->process > 0) ::kill(this->process, number);
  }
  void stop(int number) {
    if (this->process <= 0) return;
    this->signal(number);
    ::waitpid(this->process, nullptr, 0);
    this->process = 0;
  }
  bool running() {
    if (this->process <= 0) return false;
    if (::waitpid(this->process, nullptr, WNOHANG) == 0) return true;
    this->process = 0;
    return false;
  }
  /// @return kilobytes of a field of the process's status, such as VmRSS.
  long memory_kb(const std::string& field) const {
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind(field + ":", 0) == 0) return std::stol(line.substr(field.size() + 1));
    }
    return 0;
  }
  asio::ip::tcp::endpoint front_endpoint() const {
    return {asio::ip::make_address(this->ip), this->front};
  }
  asio::ip::tcp::endpoint ready_endpoint() const {
    return {asio::ip::make_address(this->ip), this->ready};
  }

  const std::string folder, name, zone, ip, store_address;
  const int memory_mb;
  const std::uint16_t front, ready, control, peers;
  pid_t process = 0;
};

/// An engine of a plain service. What a request does is the case's own.
class Engine {
 public:
  using Handler =
      std::function<void(const HttpRequest&, const std::shared_ptr<ConnectionResponder>&)>;
  Engine(asio::io_context& loop, shuntbank::testing::StoreStandin& own_store, std::string own_id,
         std::string own_service, Handler own_handler)
      : store(own_store), id(std::move(own_id)), service(std::move(own_service)) {
    shuntbank::Http1ServerSettings settings;
    settings.listen = {asio::ip::make_address("127.0.0.1"), 0};
    settings.max_connections = 4000;
    settings.max_buffered_bytes = 2000UL << 20U;
    this->server = std::make_unique<shuntbank::Http1Server>(
        loop, settings,
        [this, handler = std::move(own_handler)](const HttpRequest& request, const auto& responder) {
          const std::string expected(request.headers.get(names().expected_engine));
          if (!expected.empty() && expected != this->id) return responder->respond({421, {}, ""});
          handler(request, responder);
        });
    this->publish("ready");
  }
  void publish(const std::string& state) {
    const auto at = this->server->local_endpoint();
    this->store.put("servers", this->id,
                    {{"service", this->service},
                     {"addr", at.address().to_string() + ":" + std::to_string(at.port())},
                     {"zone", "z1"},
                     {"version", "v1"},
                     {"slots", 6},
                     {"state", state},
                     {"cold_left_ms", 0},
                     {"sequence", 0}});
  }
  shuntbank::testing::StoreStandin& store;
  const std::string id, service;
  std::unique_ptr<shuntbank::Http1Server> server;
};

inline void answer(const HttpRequest& request,
                   const std::shared_ptr<ConnectionResponder>& responder, int status,
                   const std::string& body, const std::string& engine) {
  HttpReply reply;
  reply.status = status;
  reply.headers.add(names().request_id, std::string(request.headers.get(names().request_id)));
  reply.headers.add(names().seal, engine + "." + std::to_string(body.size()));
  reply.body = body;
  responder->respond(std::move(reply));
}

inline json route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, int timeout_ms, int attempts) {
  return {{"name", name},         {"host", "lab.example"},  {"path_prefix", prefix},
          {"kind", kind},         {"timeout_ms", timeout_ms}, {"slo_ms", 200},
          {"priority", 1},        {"service", service},     {"max_attempts", attempts},
          {"affinity", false},    {"resumable", false}};
}

inline json configuration(int version, const json& routes) {
  return {{"version", version},
          {"routes", routes},
          {"services", json::array({{{"name", "plain"}, {"health_path", "/health"}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

/// Asks one node each second whether it is ready, as the platform does.
class ReadyProbe {
 public:
  ReadyProbe(asio::io_context& own_loop, const Node& own_node)
      : loop(own_loop), node(own_node), timer(own_loop) {
    this->ask();
  }
  bool in() const { return this->missed < 2; }
  bool last_was_ready = false;

 private:
  void ask() {
    auto socket = std::make_shared<asio::ip::tcp::socket>(this->loop);
    auto buffer = std::make_shared<std::string>();
    auto answered = std::make_shared<bool>(false);
    socket->async_connect(this->node.ready_endpoint(), [this, socket, buffer, answered](auto error) {
      if (error) return;
      auto text = std::make_shared<std::string>(
          "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
      asio::async_write(*socket, asio::buffer(*text), [text](auto, auto) {});
      asio::async_read_until(*socket, asio::dynamic_buffer(*buffer), "\r\n",
                             [socket, buffer, answered](auto failure, auto) {
                               *answered = !failure && buffer->find(" 200 ") != std::string::npos;
                             });
    });
    this->timer.expires_after(1s);
    this->timer.async_wait([this, socket, answered](auto error) {
      if (error) return;
      std::error_code ignored;
      socket->close(ignored);
      this->last_was_ready = *answered;
      this->missed = *answered ? 0 : this->missed + 1;
      this->ask();
    });
  }
  asio::io_context& loop;
  const Node& node;
  asio::steady_timer timer;
  int missed = 2;
};

inline bool wait_until(asio::io_context& loop, const std::function<bool()>& condition,
                       std::chrono::milliseconds timeout) {
  const auto end = Clock::now() + timeout;
  while (!condition()) {
    if (Clock::now() >= end) return false;
    loop.run_for(10ms);
    loop.restart();
  }
  return true;
}
inline void wait(asio::io_context& loop, std::chrono::milliseconds duration) {
  wait_until(loop, [] { return false; }, duration);
}

}  // namespace lab
