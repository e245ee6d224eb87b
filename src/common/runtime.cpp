#include "common/runtime.hpp"

#include <utility>

namespace shuntbank {

void call_after(Runtime& runtime, Duration delay, std::function<void()> function) {
  // The timer lives in its own call and goes with it.
  auto holder = std::make_shared<std::unique_ptr<Timer>>();
  *holder = runtime.after(delay, [holder, function = std::move(function)] {
    const auto keep_until_return = std::move(*holder);
    function();
  });
}

}  // namespace shuntbank
