#include "common/runtime.hpp"

#include <utility>

namespace shuntbank {

std::uint64_t random_number(Runtime& runtime) {
  constexpr std::size_t kBytes = 7;
  return std::stoull(runtime.random_hex(kBytes), nullptr, 16);
}

double random_fraction(Runtime& runtime) {
  constexpr std::size_t kBytes = 2;
  constexpr double kRange = 65536;
  return static_cast<double>(std::stoul(runtime.random_hex(kBytes), nullptr, 16)) / kRange;
}

void call_after(Runtime& runtime, Duration delay, std::function<void()> function) {
  // The callback owns its timer and destroys it after the call.
  auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = runtime.after(delay, [timer, function = std::move(function)] {
    const auto alive_during_call = std::move(*timer);
    function();
  });
}

}  // namespace shuntbank
