// Guards against a soak that misses relays which end by themselves.
#include "platform/support/relay_child.hpp"

#include <criterion/criterion.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <thread>

using shuntbank::testing::RelayChild;

namespace {

/// A folder that is removed at the end.
class Folder {
 public:
  Folder() { std::filesystem::create_directories(this->path); }
  ~Folder() { std::filesystem::remove_all(this->path); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string path =
      std::filesystem::temp_directory_path() / ("relay-child-" + std::to_string(::getpid()));
};

/// @return how a program ended, as `RelayChild::take_unexpected_end`. @param signal sent after its
/// start; 0: none.
std::optional<std::string> end_of(const std::string& program, int signal) {
  const Folder folder;
  RelayChild child(program, {}, folder.path);
  child.start(false);
  if (signal != 0) child.send_signal(signal);
  while (child.running()) std::this_thread::yield();
  return child.take_unexpected_end();
}

/// Lets `cat` wait for input.
void keep_input_open() {
  static std::array<int, 2> pipe_ends{};
  cr_assert_eq(::pipe(pipe_ends.data()), 0);
  cr_assert_eq(::dup2(pipe_ends[0], STDIN_FILENO), STDIN_FILENO);
}

}  // namespace

Test(relay_child, tells_the_exit_status_of_a_process_that_was_not_asked_to_end) {
  cr_assert(end_of("/bin/true", 0) == "exit status 0");
  cr_assert(end_of("/bin/false", 0) == "exit status 1");
}

Test(relay_child, tells_the_signal_that_ended_a_process) {
  keep_input_open();
  cr_assert(end_of("/bin/cat", SIGSEGV) == "signal Segmentation fault");
  // A relay that stops as asked ends with a status.
  cr_assert(end_of("/bin/cat", SIGTERM) == "signal Terminated");
}

Test(relay_child, expects_the_end_of_a_process_that_was_killed) {
  keep_input_open();
  cr_assert_not(end_of("/bin/cat", SIGKILL).has_value());
}
