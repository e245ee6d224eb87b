// Guards against relays that a signal ends while they start.
#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

#include "platform/support/relay_child.hpp"

using shuntbank::testing::free_port;
using shuntbank::testing::RelayChild;
using shuntbank::testing::RelayConfig;

namespace {

const std::string kIp = "127.0.0.1";

/// A folder that is removed at the end.
class Folder {
 public:
  Folder() : path(std::filesystem::temp_directory_path() / "relay-signals-XXXXXX") {
    cr_assert_not_null(::mkdtemp(this->path.data()));
  }
  ~Folder() { std::filesystem::remove_all(this->path); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::string path;
};

RelayConfig relay_config() {
  RelayConfig config{"relay-1", kIp, "zone-a", kIp + ":" + std::to_string(free_port(kIp))};
  config.caller_port = free_port(kIp);
  config.ready_port = free_port(kIp);
  config.control_port = free_port(kIp);
  config.peer_port = free_port(kIp);
  return config;
}

/// A relay that reads its settings from a pipe, so that it waits for them after its start.
class WaitingRelay {
 public:
  WaitingRelay() : child(SHUNTBANK_RELAY, relay_config(), this->folder.path) {
    cr_assert_eq(::mkfifo(this->child.settings_file().c_str(), 0600), 0);
  }

  void start() { this->child.start_with_given_settings(); }

  /// Waits until the relay reads its settings. @return the pipe; -1: it has ended.
  int wait_until_reading() {
    while (this->child.running()) {
      const int pipe = ::open(this->child.settings_file().c_str(), O_WRONLY | O_NONBLOCK);
      if (pipe >= 0) return pipe;
      std::this_thread::yield();
    }
    return -1;
  }

  /// Provides the settings through the pipe, and in a file for a reload.
  void provide_settings(int pipe) {
    // Not before the start: a child inherits it.
    ::signal(SIGPIPE, SIG_IGN);
    const std::string text = this->child.settings(true);
    std::filesystem::remove(this->child.settings_file());
    std::ofstream(this->child.settings_file()) << text;
    const ssize_t written = ::write(pipe, text.data(), text.size());
    ::close(pipe);
    cr_assert(written == static_cast<ssize_t>(text.size()) || !this->child.running());
  }

  /// Waits until the log has this text, or the process has ended.
  void wait_for_log(const std::string& text) {
    while (this->child.running()) {
      std::ostringstream log;
      log << std::ifstream(this->child.log_file()).rdbuf();
      if (log.str().find(text) != std::string::npos) return;
      std::this_thread::yield();
    }
  }

  /// Waits until the process has ended, which must be as asked.
  void expect_ordered_end() {
    while (this->child.running()) std::this_thread::yield();
    const std::string end = this->child.take_unexpected_end().value_or("");
    cr_assert_str_eq(end.c_str(), "");
  }

  Folder folder;
  RelayChild child;
};

}  // namespace

Test(relay_signals, reloads_on_a_hangup_that_came_before_the_settings_were_read) {
  WaitingRelay relay;
  relay.start();
  const int pipe = relay.wait_until_reading();
  relay.child.send_signal(SIGHUP);
  relay.provide_settings(pipe);
  relay.wait_for_log("event=reloaded");
  relay.child.send_signal(SIGTERM);
  relay.expect_ordered_end();
}

Test(relay_signals, stops_in_order_on_a_termination_that_came_before_the_settings_were_read) {
  WaitingRelay relay;
  relay.start();
  const int pipe = relay.wait_until_reading();
  relay.child.send_signal(SIGTERM);
  relay.provide_settings(pipe);
  relay.expect_ordered_end();
}
