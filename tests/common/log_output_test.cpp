#include "common/log_output.hpp"

#include <criterion/criterion.h>
#include <unistd.h>

#include <array>
#include <utility>

using namespace shuntbank;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(50)};

struct Pipe {
  Pipe() { cr_assert_eq(pipe(ends.data()), 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::array<int, 2> ends{};
};

}  // namespace

Test(log_output, does_not_block_on_a_stalled_reader) {
  Pipe pipe;
  LogOutput output(pipe.ends[1]);
  const std::string line(1000, 'x');
  int written = 0;
  // Exceeds the pipe's capacity; a blocking write would hang.
  for (int i = 0; i < 2000; ++i)
    written += output.write(kNow, LogImportance::kProblem, line) ? 1 : 0;
  cr_assert_gt(written, 0);
  cr_assert_lt(written, 2000);
  cr_assert_eq(output.dropped_lines(), 2000 - written);
  std::array<char, 65536> buffer{};
  cr_assert_gt(read(pipe.ends[0], buffer.data(), buffer.size()), 0);
  cr_assert(output.write(kNow, LogImportance::kProblem, line), "writes again once there is room");
}

Test(log_output, drops_steps_first_and_never_problems) {
  Pipe pipe;
  LogOutput output(pipe.ends[1]);
  output.set_limits({3, 5});
  int steps = 0;
  int outcomes = 0;
  int problems = 0;
  for (int i = 0; i < 10; ++i) {
    steps += output.write(kNow, LogImportance::kStep, "s") ? 1 : 0;
    outcomes += output.write(kNow, LogImportance::kOutcome, "o") ? 1 : 0;
    problems += output.write(kNow, LogImportance::kProblem, "t") ? 1 : 0;
  }
  cr_assert_eq(steps, 3);
  cr_assert_eq(outcomes, 2);
  cr_assert_eq(problems, 10);
  cr_assert(output.write(kNow + 1s, LogImportance::kStep, "s"),
            "the limit resets in the next second");
}

// Guards against the end of a process by SIGPIPE when the reader of its log has ended.
Test(log_output, drops_lines_without_a_reader) {
  Pipe pipe;
  LogOutput output(pipe.ends[1]);
  cr_assert(output.write(kNow, LogImportance::kProblem, "read"));
  close(std::exchange(pipe.ends[0], -1));
  for (int i = 0; i < 3; ++i) cr_assert_not(output.write(kNow, LogImportance::kProblem, "unread"));
  cr_assert_eq(output.dropped_lines(), 3);
}
