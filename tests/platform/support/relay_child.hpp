/// @file
/// A relay program as a process of its own, with its settings file, log and signals.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace shuntbank::testing {

/// Where one relay listens and what it reaches.
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

/// @return a port that the kernel has just found free on an address.
std::uint16_t free_port(const std::string& ip);

/// One process at a time, on one place. Killed and reaped when the object goes.
class RelayChild {
 public:
  /// @param folder of the settings file and the log; must exist.
  RelayChild(std::string program, RelayConfig config, const std::string& folder);
  ~RelayChild();
  RelayChild(const RelayChild&) = delete;
  RelayChild& operator=(const RelayChild&) = delete;

  /// Runs another program from its next start on.
  void set_program(const std::string& other) { this->program = other; }
  const std::string& next_program() const { return this->program; }

  /// @param first whether the whole system starts for the first time.
  void start(bool bootstrap);
  void send_signal(int signal);

  /// @return whether the process runs; reaps it when it has ended.
  bool running();

  const RelayConfig& config() const { return this->relay_config; }
  std::string caller_address() const;
  std::string ready_address() const;

 private:
  void write_settings(bool bootstrap) const;

  std::string program;
  RelayConfig relay_config;
  std::string settings_path;
  std::string log_path;
  pid_t process = 0;
};

}  // namespace shuntbank::testing
