#include "common/findings.hpp"

#include <utility>

namespace shuntbank {

void Findings::add(std::string place, std::string message) {
  items_.push_back({std::move(place), std::move(message)});
}

void Findings::append(const Findings& other, const std::string& prefix) {
  for (const Finding& finding : other.items()) add(prefix + finding.place, finding.message);
}

std::string Findings::to_text() const {
  std::string text;
  for (const Finding& finding : items_) text += finding.place + ": " + finding.message + "\n";
  return text;
}

}  // namespace shuntbank
