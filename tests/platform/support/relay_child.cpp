#include "platform/support/relay_child.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace shuntbank::testing {

std::uint16_t free_port(const std::string& ip) {
  const int socket_fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  socklen_t size = sizeof(address);
  auto* generic_address = reinterpret_cast<sockaddr*>(&address);
  const bool bound = ::bind(socket_fd, generic_address, size) == 0 &&
                     ::getsockname(socket_fd, generic_address, &size) == 0;
  ::close(socket_fd);
  if (!bound) throw std::runtime_error("no port on " + ip);
  return ntohs(address.sin_port);
}

RelayChild::RelayChild(std::string relay_program, RelayConfig own_config, const std::string& folder)
    : program(std::move(relay_program)),
      relay_config(std::move(own_config)),
      settings_path(folder + "/" + this->relay_config.name + ".conf"),
      log_path(folder + "/" + this->relay_config.name + ".log") {}

RelayChild::~RelayChild() {
  if (!this->running()) return;
  this->send_signal(SIGKILL);
  ::waitpid(this->process, nullptr, 0);
}

std::string RelayChild::caller_address() const {
  return this->relay_config.ip + ":" + std::to_string(this->relay_config.caller_port);
}

std::string RelayChild::ready_address() const {
  return this->relay_config.ip + ":" + std::to_string(this->relay_config.ready_port);
}

std::string RelayChild::settings(bool bootstrap) const {
  std::ostringstream text;
  const std::string& ip = this->relay_config.ip;
  text << "node=" << this->relay_config.name << "\nzone=" << this->relay_config.zone
       << "\nip=" << ip << "\nlisten.front=" << this->caller_address()
       << "\nlisten.ready=" << this->ready_address() << "\nlisten.control=" << ip << ":"
       << this->relay_config.control_port << "\nport_range=" << this->relay_config.peer_port << ","
       << this->relay_config.peer_port << "\nbootstrap=" << (bootstrap ? "true" : "false")
       << "\nbounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=20"
       << "\nbounds.grace_s=8\nplatform.addr=" << this->relay_config.store_address
       << "\nan.unknown.key=1\n";
  return text.str();
}

void RelayChild::start(bool bootstrap) {
  std::ofstream(this->settings_path, std::ios::trunc) << this->settings(bootstrap);
  this->start_with_given_settings();
}

void RelayChild::start_with_given_settings() {
  this->kill_sent = false;
  this->stop_sent = false;
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, this->log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  std::string variable = "SHUNTBANK_BOOT=" + this->settings_path;
  std::string name = this->program;
  char* arguments[] = {name.data(), nullptr};
  char* environment[] = {variable.data(), nullptr};
  const int failed =
      ::posix_spawn(&this->process, this->program.c_str(), &files, nullptr, arguments, environment);
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) throw std::runtime_error("cannot start " + this->program);
}

std::size_t RelayChild::peak_memory() const {
  constexpr std::string_view kField = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(kField, 0) == 0) return std::stoull(line.substr(kField.size())) << 10U;
  }
  return 0;
}

void RelayChild::send_signal(int signal) {
  if (this->process <= 0) return;
  if (signal == SIGKILL) this->kill_sent = true;
  if (signal == SIGTERM) this->stop_sent = true;
  ::kill(this->process, signal);
}

bool RelayChild::running() {
  if (this->process <= 0) return false;
  int status = 0;
  if (::waitpid(this->process, &status, WNOHANG) == 0) return true;
  this->on_ended(status);
  this->process = 0;
  return false;
}

void RelayChild::on_ended(int status) {
  if (WIFSIGNALED(status)) {
    const int signal = WTERMSIG(status);
    if (signal == SIGKILL && this->kill_sent) return;
    this->unexpected_end = std::string("signal ") + ::strsignal(signal);
    return;
  }
  if (WEXITSTATUS(status) == 0 && this->stop_sent) return;
  this->unexpected_end = "exit status " + std::to_string(WEXITSTATUS(status));
}

std::optional<std::string> RelayChild::take_unexpected_end() {
  return std::exchange(this->unexpected_end, std::nullopt);
}

}  // namespace shuntbank::testing
