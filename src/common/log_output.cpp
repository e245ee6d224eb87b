#include "common/log_output.hpp"

#include <poll.h>
#include <unistd.h>

#include <climits>

namespace shuntbank {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

}  // namespace

bool LogOutput::admit(MonotonicTime now, LogImportance importance) {
  if (now - second_start_ >= kSecond) {
    second_start_ = now;
    steps_ = 0;
    lines_ = 0;
  }
  if (importance == LogImportance::kProblem) return true;
  const bool is_step = importance == LogImportance::kStep;
  if (is_step && limits_.steps_per_second != 0 && steps_ >= limits_.steps_per_second) return false;
  if (limits_.lines_per_second != 0 && lines_ >= limits_.lines_per_second) return false;
  if (is_step) ++steps_;
  ++lines_;
  return true;
}

bool LogOutput::try_write(const std::string& line) const {
  std::string bytes = line.substr(0, PIPE_BUF - 1);
  bytes += '\n';
  pollfd poll_request{descriptor_, POLLOUT, 0};
  // A writable pipe accepts up to PIPE_BUF bytes atomically and without blocking (POSIX, write).
  if (::poll(&poll_request, 1, 0) <= 0 || poll_request.revents != POLLOUT) return false;
  return ::write(descriptor_, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
}

bool LogOutput::write(MonotonicTime now, LogImportance importance, const std::string& line) {
  if (!admit(now, importance)) {
    ++dropped_lines_;
    return false;
  }
  if (dropped_lines_ > reported_drops_ &&
      try_write("level=warning area=process event=log_lines_left_out total=" +
                std::to_string(dropped_lines_))) {
    reported_drops_ = dropped_lines_;
  }
  if (try_write(line)) return true;
  ++dropped_lines_;
  return false;
}

}  // namespace shuntbank
