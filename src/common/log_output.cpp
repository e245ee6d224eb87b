#include "common/log_output.hpp"

#include <poll.h>
#include <unistd.h>

#include <climits>

namespace shuntbank {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

}  // namespace

bool LogOutput::within_limits(MonotonicTime now, LogImportance importance) {
  if (now - second_began_ >= kSecond) {
    second_began_ = now;
    steps_ = 0;
    lines_ = 0;
  }
  if (importance == LogImportance::kTrouble) return true;
  const bool step = importance == LogImportance::kStep;
  if (step && limits_.steps_per_second != 0 && steps_ >= limits_.steps_per_second) return false;
  if (limits_.lines_per_second != 0 && lines_ >= limits_.lines_per_second) return false;
  if (step) ++steps_;
  ++lines_;
  return true;
}

bool LogOutput::put(const std::string& line) const {
  std::string bytes = line.substr(0, PIPE_BUF - 1);
  bytes += '\n';
  pollfd wanted{descriptor_, POLLOUT, 0};
  // A pipe that is ready takes PIPE_BUF bytes whole and without waiting (POSIX, write).
  if (::poll(&wanted, 1, 0) <= 0 || (wanted.revents & POLLOUT) == 0) return false;
  return ::write(descriptor_, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
}

bool LogOutput::write(MonotonicTime now, LogImportance importance, const std::string& line) {
  if (!within_limits(now, importance)) {
    ++left_out_;
    return false;
  }
  if (left_out_ > told_ && put("level=warning area=process event=log_lines_left_out total=" +
                               std::to_string(left_out_))) {
    told_ = left_out_;
  }
  if (put(line)) return true;
  ++left_out_;
  return false;
}

}  // namespace shuntbank
