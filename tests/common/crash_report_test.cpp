// Guards against processes that end by a fatal signal without a line in their log.
#include "common/crash_report.hpp"

#include <criterion/criterion.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <string>

using namespace shuntbank;

namespace {

struct CrashedChild {
  int signal = 0;  ///< Zero: it has not ended by a signal.
  std::string output;
};

/// Runs a function in a child process that reports its crashes.
CrashedChild run_in_child(const std::function<void()>& function) {
  std::array<int, 2> pipe_ends{};
  cr_assert_eq(::pipe(pipe_ends.data()), 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::close(pipe_ends[0]);
    for (const int signal : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) ::signal(signal, SIG_DFL);
    report_crashes(pipe_ends[1]);
    function();
    ::_exit(0);
  }
  ::close(pipe_ends[1]);
  CrashedChild crashed;
  std::array<char, 4096> buffer{};
  for (ssize_t size = 1; size > 0;) {
    size = ::read(pipe_ends[0], buffer.data(), buffer.size());
    if (size > 0) crashed.output.append(buffer.data(), static_cast<std::size_t>(size));
  }
  ::close(pipe_ends[0]);
  int status = 0;
  cr_assert_eq(::waitpid(child, &status, 0), child);
  if (WIFSIGNALED(status)) crashed.signal = WTERMSIG(status);
  return crashed;
}

bool has(const CrashedChild& child, const std::string& text) {
  return child.output.find(text) != std::string::npos;
}

/// The frame is used after the call, so that the call is not replaced by a loop.
int recurse(int depth) {
  volatile char frame[512];  // NOLINT(modernize-avoid-c-arrays)
  frame[depth % 512] = static_cast<char>(depth);
  if (depth < 0) return 0;
  return recurse(depth + 1) + frame[depth % 512];
}

}  // namespace

Test(crash_report, names_an_invalid_address) {
  const CrashedChild child = run_in_child([] {
    volatile int* const null = nullptr;
    *null = 1;
  });
  cr_assert_eq(child.signal, SIGSEGV);
  cr_assert(has(child, "event=crashed signal=SIGSEGV address=0x0 stack_overflow=false\n"), "%s",
            child.output.c_str());
  cr_assert(has(child, "event=crash_trace trace="), "%s", child.output.c_str());
  cr_assert(has(child, "+0x"), "no frame of the program: %s", child.output.c_str());
}

Test(crash_report, tells_a_stack_overflow) {
  const CrashedChild child = run_in_child([] { recurse(0); });
  cr_assert_eq(child.signal, SIGSEGV);
  cr_assert(has(child, "stack_overflow=true"), "%s", child.output.c_str());
}

Test(crash_report, covers_an_abort_and_a_signal_that_was_sent) {
  const CrashedChild aborted = run_in_child([] { std::abort(); });
  cr_assert_eq(aborted.signal, SIGABRT);
  cr_assert(has(aborted, "event=crashed signal=SIGABRT\n"), "%s", aborted.output.c_str());
  const CrashedChild sent = run_in_child([] { ::kill(::getpid(), SIGBUS); });
  cr_assert_eq(sent.signal, SIGBUS);
  cr_assert(has(sent, "event=crashed signal=SIGBUS\n"), "%s", sent.output.c_str());
}
