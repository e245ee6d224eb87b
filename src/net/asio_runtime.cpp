#include "net/asio_runtime.hpp"

#include <asio/post.hpp>
#include <chrono>
#include <utility>

#include "common/hash.hpp"
#include "net/monotonic_timer.hpp"

namespace shuntbank {
namespace {

class AsioTimer : public Timer {
 public:
  AsioTimer(asio::io_context& loop, Duration delay, std::function<void()> function)
      : timer_(loop, delay) {
    // The flag outlives the timer, so that a handler already queued when the timer is destroyed
    // does not run either.
    timer_.async_wait(
        [alive = alive_, function = std::move(function)](const std::error_code& error) {
          if (!error && *alive) function();
        });
  }
  ~AsioTimer() override { *alive_ = false; }
  AsioTimer(const AsioTimer&) = delete;
  AsioTimer& operator=(const AsioTimer&) = delete;

 private:
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  MonotonicTimer timer_;
};

}  // namespace

MonotonicTime AsioRuntime::now() const {
  return monotonic_now();
}

std::uint64_t AsioRuntime::unix_milliseconds() const {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::unique_ptr<Timer> AsioRuntime::after(Duration delay, std::function<void()> function) {
  return std::make_unique<AsioTimer>(loop_, delay, std::move(function));
}

void AsioRuntime::post(std::function<void()> function) {
  asio::post(loop_, std::move(function));
}

std::string AsioRuntime::random_hex(std::size_t bytes) {
  return shuntbank::random_hex(bytes);
}

}  // namespace shuntbank
