// Entries of another writer among those of the engines and nodes.
#include <string>
#include <utility>
#include <vector>

#include "platform/support/soak_site.hpp"

namespace shuntbank::testing {
namespace {

using namespace std::chrono_literals;

/// As deep as the largest value that the store takes, of 1 MB.
constexpr std::size_t kArrayLevels = 450'000;
constexpr std::size_t kObjectLevels = 150'000;

std::string repeated(const std::string& text, std::size_t count) {
  std::string result;
  for (std::size_t i = 0; i < count; ++i) result += text;
  return result;
}

/// @return values that name no engine and no node.
std::vector<std::string> odd_values() {
  const std::string fields = R"("service":"model","state":"up","slots":16,"zone":"z0")";
  return {repeated("[", kArrayLevels) + repeated("]", kArrayLevels),
          repeated(R"({"":)", kObjectLevels) + "0" + repeated("}", kObjectLevels),
          R"({"addr":"127.0.0.1:9","extra":)" + repeated("[", kArrayLevels) +
              repeated("]", kArrayLevels) + "," + fields + "}",
          R"({"addr":"127.0.0.1:9","slots":1e400,"service":"model"})",
          R"({"addr":"127.0.0.1:9","slots":-1e400,"service":"model"})",
          R"({"addr":"127.0.0.1:9","slots":)" + std::string(40, '9') + R"(,"service":"model"})",
          R"({"addr":"127.0.0.1:99999",)" + fields + "}",
          R"({"addr":{"ip":"127.0.0.1"},"service":["model"],"state":7})",
          R"({"service":"model"})",
          "null",
          "\"\xff\xfe\""};
}

}  // namespace

/// Puts an entry for a while. Its name sorts before those of the engines or after them.
void SoakSite::inject_odd_entries() {
  if (this->faults_cleared) return;
  static const std::vector<std::string> kinds{"servers", "servers", "shuntbank-nodes", "config"};
  std::vector<std::string> values = odd_values();
  const std::size_t index = this->entry_random() % values.size();
  const std::string& kind = kinds[this->entry_random() % kinds.size()];
  const std::string name =
      (this->entry_random() % 2 == 0 ? "0-odd-" : "z-odd-") + std::to_string(index);
  this->log_fault("entry " + kind + "/" + name);
  this->store.put_text(kind, name, std::move(values[index]));
  const std::chrono::milliseconds duration(300 + this->entry_random() % 3000);
  this->schedule(duration, [this, kind, name] {
    this->store.remove(kind, name);
    this->inject_odd_entries();
  });
}

}  // namespace shuntbank::testing
