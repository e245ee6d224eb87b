/// @file
/// Real processes for tests. Boost.Process stays behind this header, since it brings an Asio of its
/// own that cannot be included beside the standalone one.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shuntbank::testing {

/// One process under test. Ended when the object goes.
class Process {
 public:
  Process(const std::string& program, std::vector<std::string> arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// @return the address that the process printed for one of its interfaces; waits for it.
  std::string address(const std::string& interface);

  /// @return whether the output holds the text.
  bool printed(const std::string& text) const;

  void send_signal(int signal);

  /// Kills at once and reaps.
  void kill();

  /// Waits until the process has ended. @return its exit code.
  int wait();

  bool running();

 private:
  std::string output() const;

  std::string output_path_;
  struct Child;
  std::unique_ptr<Child> child_;
};

/// Waits until `condition` holds. @return false after 30 s.
bool eventually(const std::function<bool()>& condition);

}  // namespace shuntbank::testing
