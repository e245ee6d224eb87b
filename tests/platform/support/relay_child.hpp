/// @file
/// Runs a relay program as a child process with its settings file and log.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace shuntbank::testing {

/// Name, addresses and ports of one relay.
struct RelayConfig {
  std::string name;
  std::string ip;
  std::string zone;
  std::string store_address;  ///< IP:PORT
  std::uint16_t caller_port = 0;
  std::uint16_t ready_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t peer_port = 0;

  bool operator==(const RelayConfig&) const = default;
};

/// @return a port that is free on an address at the moment.
std::uint16_t free_port(const std::string& ip);

/// At most one process at a time. The destructor kills and reaps it.
class RelayChild {
 public:
  /// @param folder of the settings file and the log; must exist.
  RelayChild(std::string program, RelayConfig config, const std::string& folder);
  ~RelayChild();
  RelayChild(const RelayChild&) = delete;
  RelayChild& operator=(const RelayChild&) = delete;

  /// Sets the program of later starts.
  void set_program(const std::string& other) { this->program = other; }
  const std::string& next_program() const { return this->program; }

  /// @param bootstrap whether the whole system starts for the first time.
  void start(bool bootstrap);

  /// Starts a process that reads its settings from whatever stands at `settings_file`.
  void start_with_given_settings();
  const std::string& settings_file() const { return this->settings_path; }
  const std::string& log_file() const { return this->log_path; }

  /// @return the content of a settings file.
  std::string settings(bool bootstrap) const;
  void send_signal(int signal);

  /// @return whether the process runs; reaps it after its exit.
  bool running();

  /// @return how the last process ended, by which signal or exit status, unless it ended as asked:
  /// by `SIGKILL` after that was sent, or with status 0 after `SIGTERM`. Told once.
  std::optional<std::string> take_unexpected_end();

  /// @return the largest resident size of the current process, in bytes; 0 if it has ended.
  std::size_t peak_memory() const;

  const RelayConfig& config() const { return this->relay_config; }
  std::string caller_address() const;
  std::string ready_address() const;

 private:
  void on_ended(int status);

  std::string program;
  RelayConfig relay_config;
  std::string settings_path;
  std::string log_path;
  pid_t process = 0;
  bool kill_sent = false;
  bool stop_sent = false;
  std::optional<std::string> unexpected_end;
};

}  // namespace shuntbank::testing
