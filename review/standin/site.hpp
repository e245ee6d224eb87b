// Stand-ins for the review: the platform's store, engines, clients and the nodes as processes.
// One thread a connection, blocking sockets, loopback addresses only. The platform's names are read
// from platform/names.txt while it runs, as nothing outside the adapter may hold them.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline long now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

inline void sleep_ms(long ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---------------------------------------------------------------------------------------- record

inline std::mutex record_mutex;
inline std::ofstream record_file;

inline void record(const std::string& line) {
  std::lock_guard<std::mutex> lock(record_mutex);
  record_file << now_ms() << " ms  " << line << "\n";
  record_file.flush();
}

/// The case could not run.
[[noreturn]] void cannot_run(const std::string& why);

// ----------------------------------------------------------------------------------------- names

/// @return the line of platform/names.txt that ends in `part`.
inline std::string name(const std::string& part) {
  static const std::vector<std::string> lines = [] {
    std::vector<std::string> all;
    std::ifstream file("platform/names.txt");
    for (std::string line; std::getline(file, line);) all.push_back(line);
    return all;
  }();
  for (const std::string& line : lines) {
    if (line.size() >= part.size() && line.compare(line.size() - part.size(), part.size(), part) == 0)
      return line;
  }
  cannot_run("platform/names.txt has no name ending in " + part);
}

// ------------------------------------------------------------------------------------------ HTTP

struct Message {
  std::string first;  ///< Request or status line.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string get(const std::string& field) const {
    for (const auto& [key, value] : fields)
      if (strcasecmp(key.c_str(), field.c_str()) == 0) return value;
    return {};
  }
  bool has(const std::string& field) const {
    return std::any_of(fields.begin(), fields.end(), [&](const auto& entry) {
      return strcasecmp(entry.first.c_str(), field.c_str()) == 0;
    });
  }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const auto from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
  std::string path() const { return target().substr(0, target().find('?')); }
  std::string query(const std::string& key) const {
    const std::string all = target();
    const auto mark = all.find('?');
    if (mark == std::string::npos) return {};
    std::stringstream parts(all.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');)
      if (part.compare(0, key.size() + 1, key + "=") == 0) return part.substr(key.size() + 1);
    return {};
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads from a socket with a buffer and a deadline.
class Reader {
 public:
  explicit Reader(int own_fd) : fd(own_fd) {}

  /// Reads more; false at the end, on an error or at the deadline.
  bool fill(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
    if (left.count() <= 0) return timed_out = true, false;
    pollfd waiting{fd, POLLIN, 0};
    const int ready = ::poll(&waiting, 1, static_cast<int>(std::min<long>(left.count(), 1000000)));
    if (ready == 0) return timed_out = true, false;
    char bytes[16384];
    const ssize_t n = ::recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      reset = n < 0;
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  bool line(std::string& text, Clock::time_point until) {
    std::size_t end;
    while ((end = buffer.find("\r\n")) == std::string::npos)
      if (!fill(until)) return false;
    text = buffer.substr(0, end);
    buffer.erase(0, end + 2);
    return true;
  }

  bool exactly(std::string& text, std::size_t size, Clock::time_point until) {
    while (buffer.size() < size)
      if (!fill(until)) return false;
    text += buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
  }

  bool head(Message& message, Clock::time_point until) {
    message = Message();
    if (!line(message.first, until)) return false;
    for (std::string text;;) {
      if (!line(text, until)) return false;
      if (text.empty()) return true;
      const auto colon = text.find(':');
      if (colon == std::string::npos) return false;
      auto value = text.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields.emplace_back(text.substr(0, colon), value);
    }
  }

  /// Reads the body; `on_piece` may look at each piece of a chunked one.
  bool body(Message& message, Clock::time_point until,
            const std::function<void(const std::string&)>& on_piece = {}) {
    if (strcasecmp(message.get("Transfer-Encoding").c_str(), "chunked") == 0) {
      for (std::string text;;) {
        if (!line(text, until)) return false;
        const auto size = std::strtoul(text.c_str(), nullptr, 16);
        std::string piece;
        if (!exactly(piece, size, until)) return false;
        message.body += piece;
        if (on_piece && !piece.empty()) on_piece(piece);
        if (!line(text, until)) return false;
        if (size == 0) return true;
      }
    }
    const std::string length = message.get("Content-Length");
    return length.empty() || exactly(message.body, std::stoul(length), until);
  }

  int fd;
  std::string buffer;
  bool timed_out = false;
  bool reset = false;
};

inline sockaddr_in socket_address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int connect_to(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = socket_address(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline std::string answer_text(int status, const std::vector<std::pair<std::string, std::string>>& fields,
                               const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
  for (const auto& [key, value] : fields) text += key + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& piece) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
  return size + piece + "\r\n";
}

/// Listens on a loopback address; one thread a connection.
class Server {
 public:
  using Handler = std::function<void(int fd, Reader& reader)>;

  Server(const std::string& ip, Handler own_handler) : handler(std::move(own_handler)) {
    fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = socket_address(ip, 0);
    socklen_t size = sizeof(address);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 512) != 0)
      cannot_run("no port on " + ip);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    std::thread([this] { accept_all(); }).detach();
  }

  /// Closes the listener and all connections.
  void stop() {
    stopped = true;
    ::shutdown(fd, SHUT_RDWR);
    close_connections();
  }

  void close_connections() {
    std::lock_guard<std::mutex> lock(mutex);
    for (const int connection : connections) ::shutdown(connection, SHUT_RDWR);
  }

  int port = 0;

 private:
  void accept_all() {
    while (!stopped) {
      const int connection = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        if (stopped) return;
        sleep_ms(10);
        continue;
      }
      const int on = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        std::lock_guard<std::mutex> lock(mutex);
        connections.insert(connection);
      }
      std::thread([this, connection] {
        Reader reader(connection);
        handler(connection, reader);
        std::lock_guard<std::mutex> lock(mutex);
        connections.erase(connection);
        ::close(connection);
      }).detach();
    }
  }

  Handler handler;
  int fd = -1;
  std::atomic<bool> stopped{false};
  std::mutex mutex;
  std::set<int> connections;
};

// ----------------------------------------------------------------------------------------- store

/// The platform's store: objects with one counter of revisions, lists, watches, conditional writes.
/// Calls with `stale` may be `stale_ms` old. Each node has its own door, which can be cut.
class Store {
 public:
  /// @return the port of a new door.
  int add_door(const std::string& ip) {
    doors.push_back(std::make_unique<Door>());
    Door* door = doors.back().get();
    door->server = std::make_unique<Server>(
        ip, [this, door](int fd, Reader& reader) { serve(*door, fd, reader); });
    return door->server->port;
  }

  /// A partition: nothing gets through, and nothing is said.
  void cut(std::size_t door) { doors[door]->is_cut = true; }

  void heal(std::size_t door) {
    doors[door]->is_cut = false;
    doors[door]->server->close_connections();
  }

  /// Watches of the configuration with and without `stale` since the last call of this function.
  std::pair<long, long> take_counts(std::size_t door) {
    return {doors[door]->stale_calls.exchange(0), doors[door]->latest_calls.exchange(0)};
  }

  /// @return the revision; from now on the change is acknowledged.
  std::uint64_t put(const std::string& kind, const std::string& object, const json& spec) {
    std::lock_guard<std::mutex> lock(mutex);
    return store(kind, object, spec);
  }

  void remove(const std::string& kind, const std::string& object) {
    std::lock_guard<std::mutex> lock(mutex);
    const auto found = kinds[kind].find(object);
    if (found == kinds[kind].end()) return;
    ++revision;
    events.push_back({revision, Clock::now(), kind, found->second, true});
    kinds[kind].erase(found);
    changed.notify_all();
  }

  std::atomic<long> stale_ms{0};

 private:
  struct Event {
    std::uint64_t revision;
    Clock::time_point at;
    std::string kind;
    json object;
    bool gone;
  };
  struct Door {
    std::unique_ptr<Server> server;
    std::atomic<bool> is_cut{false};
    std::atomic<long> stale_calls{0};
    std::atomic<long> latest_calls{0};
  };

  std::uint64_t store(const std::string& kind, const std::string& object, const json& spec) {
    json& entry = kinds[kind][object];
    const json made = entry.is_object() ? entry["meta"]["made"] : json(revision + 1);
    entry = {{"meta",
              {{"name", object},
               {"revision", ++revision},
               {"made", made},
               {"finalizers", json::array()},
               {"deleting", false}}},
             {"spec", spec},
             {"status", nullptr}};
    events.push_back({revision, Clock::now(), kind, entry, false});
    changed.notify_all();
    return revision;
  }

  /// @return the newest revision that a stale answer shows.
  std::uint64_t stale_revision() const {
    const auto horizon = Clock::now() - std::chrono::milliseconds(stale_ms);
    std::uint64_t visible = 0;
    for (const Event& event : events) {
      if (event.at > horizon) break;
      visible = event.revision;
    }
    return visible;
  }

  json events_between(const std::string& kind, std::uint64_t after, std::uint64_t last) const {
    json found = json::array();
    for (const Event& event : events) {
      if (event.kind == kind && event.revision > after && event.revision <= last)
        found.push_back({{"gone", event.gone}, {"object", event.object}});
    }
    return found;
  }

  json objects_at(const std::string& kind, std::uint64_t last) const {
    std::map<std::string, json> seen;
    for (const Event& event : events) {
      if (event.kind != kind || event.revision > last) continue;
      const std::string object = event.object["meta"]["name"];
      if (event.gone)
        seen.erase(object);
      else
        seen[object] = event.object;
    }
    json items = json::array();
    for (const auto& [object, entry] : seen) items.push_back(entry);
    return items;
  }

  void serve(Door& door, int fd, Reader& reader) {
    for (;;) {
      Message request;
      if (!reader.head(request, Clock::now() + std::chrono::hours(1))) return;
      if (!reader.body(request, Clock::now() + std::chrono::seconds(10))) return;
      if (door.is_cut) return wait_while_cut(door, fd);
      const auto [status, body] = handle(door, request);
      if (door.is_cut) return wait_while_cut(door, fd);
      sleep_ms(4);
      const std::string text = status == 200 || status == 409 ? body.dump() : "";
      if (!send_all(fd, answer_text(status, {{"Content-Type", "application/json"}}, text))) return;
    }
  }

  static void wait_while_cut(Door& door, int) {
    while (door.is_cut) sleep_ms(20);
  }

  std::pair<int, json> handle(Door& door, const Message& request) {
    const std::string prefix = name("objects") + "/";
    const std::string path = request.path();
    if (path.compare(0, prefix.size(), prefix) != 0) return {404, {}};
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string object = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string method = request.method();
    std::unique_lock<std::mutex> lock(mutex);
    if (method == "POST" || method == "PUT") {
      const json body = json::parse(request.body, nullptr, false);
      const std::string wanted = method == "POST" ? body["meta"]["name"].get<std::string>() : object;
      const auto found = kinds[kind].find(wanted);
      const bool there = found != kinds[kind].end();
      if (method == "POST" && there) return {409, found->second};
      if (method == "PUT") {
        if (!there) return {404, {}};
        const json& meta = body["meta"];
        if (meta.contains("revision") && meta["revision"] != found->second["meta"]["revision"])
          return {409, found->second};
      }
      store(kind, wanted, body["spec"]);
      return {200, kinds[kind][wanted]};
    }
    if (method == "DELETE") return {404, {}};
    const bool stale = request.query("stale") == "1";
    if (!request.query("watch").empty()) {
      if (kind == "config") ++(stale ? door.stale_calls : door.latest_calls);
      const std::uint64_t since = std::stoull(request.query("watch"));
      const auto until =
          Clock::now() + std::chrono::milliseconds(std::stol("0" + request.query("wait_ms")));
      for (;;) {
        const std::uint64_t visible = stale ? stale_revision() : revision;
        const json found = events_between(kind, since, visible);
        if (!found.empty() || Clock::now() >= until || door.is_cut)
          return {200, {{"events", found}, {"at", std::max(since, visible)}}};
        changed.wait_for(lock, std::chrono::milliseconds(stale ? 20 : 100));
      }
    }
    const std::uint64_t visible = stale ? stale_revision() : revision;
    if (object.empty())
      return {200, {{"items", objects_at(kind, visible)}, {"more", false}, {"at", visible}}};
    const auto found = kinds[kind].find(object);
    if (found == kinds[kind].end()) return {404, {}};
    return {200, found->second};
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t revision = 0;
  std::deque<Event> events;
  std::map<std::string, std::map<std::string, json>> kinds;
  std::vector<std::unique_ptr<Door>> doors;
};

// ----------------------------------------------------------------------------------------- nodes

inline std::mutex process_mutex;
inline std::set<pid_t> processes;  ///< Running, to be ended.

inline void end_all_processes() {
  std::lock_guard<std::mutex> lock(process_mutex);
  for (const pid_t process : processes) {
    ::kill(process, SIGCONT);
    ::kill(process, SIGKILL);
  }
  for (const pid_t process : processes) ::waitpid(process, nullptr, 0);
  processes.clear();
}

inline std::string folder_to_remove;

/// Ends all processes and the program. With REVIEW_KEEP set, the logs of the nodes stay.
[[noreturn]] inline void leave(int code) {
  end_all_processes();
  std::error_code ignored;
  if (!folder_to_remove.empty() && std::getenv("REVIEW_KEEP") == nullptr)
    std::filesystem::remove_all(folder_to_remove, ignored);
  record_file.flush();
  std::cout.flush();
  ::_exit(code);
}

inline void cannot_run(const std::string& why) {
  std::cerr << "cannot run: " << why << std::endl;
  record("cannot run: " + why);
  leave(2);
}

inline std::string node_command() {
  std::ifstream file("deploy/system.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.compare(0, 7, "run = \"") == 0) return line.substr(7, line.rfind('"') - 7);
  }
  cannot_run("deploy/system.toml names no command");
}

inline int free_port(const std::vector<std::string>& ips) {
  for (int port = 20000 + static_cast<int>(::getpid() % 5000); port < 60000; port += 7) {
    bool free = true;
    for (const std::string& ip : ips) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = ::socket(AF_INET, type, 0);
        const auto address = socket_address(ip, port);
        free = free && ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(fd);
      }
    }
    static std::set<int> given;
    if (free && given.insert(port).second) return port;
  }
  cannot_run("no free port");
}

/// One node of the system, as its own process with the command of the deploy file.
class Node {
 public:
  std::string id, zone, ip;
  int front = 0, ready = 0, control = 0, peer = 0, store = 0;
  std::string folder;
  std::string seeds;
  pid_t process = -1;

  void start(bool bootstrap) {
    const std::string path = folder + "/" + id + ".conf";
    std::ofstream file(path, std::ios::trunc);
    file << "node=" << id << "\nrole=relay\nmachine_class=front\nserves=front,control\nip=" << ip
         << "\nzone=" << zone << "\nregion=r1\nzones.z1=r1\nzones.z2=r1\nzones.z3=r1"
         << "\nlisten.front=" << ip << ":" << front << "\nlisten.ready=" << ip << ":" << ready
         << "\nlisten.control=" << ip << ":" << control << "\nport_range=" << peer << "," << peer
         << "\nseeds=" << seeds << "\nbootstrap=" << (bootstrap ? "true" : "false")
         << "\ncounts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260"
         << "\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0"
         << "\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200"
         << "\ncontracts=base,drain,config,cost,retry,recover,split,stream,engine,platform"
         << "\ntolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\nbounds.seed_lag_s=3"
         << "\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\nbounds.ack_ms=4000"
         << "\nbounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8"
         << "\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000"
         << "\nbounds.downgrade_slack_ms=250\nbounds.max_stretch_ms=5000"
         << "\nbounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=54"
         << "\nbounds.recovery_s=12\nbounds.transit_ms=120\nbounds.retry_after_s=10"
         << "\nbounds.require_fence=true\nbounds.lease_ms=3000\nbounds.thaw_slack_ms=300"
         << "\nplatform.addr=127.0.0.1:" << store << "\nplatform.form=objects"
         << "\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20"
         << "\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
    file.close();
    const std::string command = node_command();
    const std::string variable = name("BOOT") + "=" + path;
    const std::string log = folder + "/" + id + ".log";
    std::stringstream words(command);
    std::vector<std::string> arguments;
    for (std::string word; words >> word;) arguments.push_back(word);
    std::vector<char*> argv;
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    process = ::fork();
    if (process == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execve(argv[0], argv.data(), environment);
      ::_exit(127);
    }
    std::lock_guard<std::mutex> lock(process_mutex);
    processes.insert(process);
  }

  void send_signal(int signal) const { ::kill(process, signal); }

  bool is_ready() const {
    const int fd = connect_to(ip, ready);
    if (fd < 0) return false;
    Reader reader(fd);
    Message answer;
    const bool ok = send_all(fd, "GET /v1/ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n") &&
                    reader.head(answer, Clock::now() + std::chrono::milliseconds(800)) &&
                    answer.status() == 200;
    ::close(fd);
    return ok;
  }
};

// --------------------------------------------------------------------------------------- clients

/// What a client saw of one try.
struct Seen {
  int status = 0;         ///< 0: no head of an answer.
  bool complete = false;  ///< The whole answer came.
  Message answer;
  long sent_ms = 0;
  long ended_ms = 0;
};

/// Sends one try on a new connection, as PROTOCOL.md tells, and waits for the answer.
inline Seen ask(const std::string& ip, int port, const std::string& method, const std::string& target,
                const std::string& host, const std::string& id, long deadline_ms,
                const std::vector<std::pair<std::string, std::string>>& more = {},
                const std::string& body = "") {
  Seen seen;
  seen.sent_ms = now_ms();
  const int fd = connect_to(ip, port);
  if (fd < 0) {
    seen.ended_ms = now_ms();
    return seen;
  }
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id +
                     "\r\n" + name("Deadline-Ms") + ": " + std::to_string(deadline_ms) + "\r\n";
  for (const auto& [key, value] : more) text += key + ": " + value + "\r\n";
  if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  const auto until = Clock::now() + std::chrono::milliseconds(deadline_ms + 1000);
  Reader reader(fd);
  if (send_all(fd, text) && reader.head(seen.answer, until)) {
    seen.status = seen.answer.status();
    seen.complete = reader.body(seen.answer, until);
  }
  seen.ended_ms = now_ms();
  ::close(fd);
  return seen;
}

inline std::string new_id() {
  static std::atomic<std::uint64_t> next{1};
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx", 0x9c41d07b00000000ULL + next++);
  return text;
}

inline std::string make_folder() {
  char text[] = "/tmp/review-XXXXXX";
  if (::mkdtemp(text) == nullptr) cannot_run("no temporary folder");
  folder_to_remove = text;
  return text;
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
