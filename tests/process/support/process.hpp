/// @file
/// Child processes for tests. Hides Boost.Process, whose Boost.Asio cannot be included together
/// with the standalone Asio.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shuntbank::testing {

/// A process under test. The destructor kills it.
class Process {
 public:
  Process(const std::string& program, std::vector<std::string> arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// @return the address that the process printed for one of its interfaces; waits for it.
  std::string address(const std::string& interface);

  /// @return whether the output contains the text.
  bool printed(const std::string& text) const;

  void send_signal(int signal);

  /// Sends SIGKILL and reaps the process.
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
