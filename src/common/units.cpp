#include "common/units.hpp"

#include <array>
#include <charconv>

namespace shuntbank {
namespace {

struct Unit {
  std::string_view suffix;
  std::int64_t factor;
};

constexpr std::array<Unit, 5> kDurationUnits{
    {{"h", 3'600'000'000}, {"m", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};
constexpr std::array<Unit, 4> kSizeUnits{
    {{"GiB", 1LL << 30}, {"MiB", 1LL << 20}, {"KiB", 1LL << 10}, {"", 1}}};

/// Parses a non-negative integer followed by a unit suffix, and multiplies by the unit's factor.
template <std::size_t N>
tl::expected<std::int64_t, std::string> parse_with_unit(std::string_view text,
                                                        const std::array<Unit, N>& units,
                                                        const char* accepted) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
  if (error != std::errc{} || number < 0) {
    return tl::make_unexpected("'" + std::string(text) + "' is not " + accepted);
  }
  for (const Unit& unit : units) {
    if (unit.suffix != suffix) continue;
    if (number > INT64_MAX / unit.factor) {
      return tl::make_unexpected("'" + std::string(text) + "' is too large");
    }
    return number * unit.factor;
  }
  return tl::make_unexpected("'" + std::string(text) + "' is not " + accepted);
}

}  // namespace

tl::expected<Duration, std::string> parse_duration(std::string_view text) {
  return parse_with_unit(text, kDurationUnits,
                         "a duration: a whole number with the suffix us, ms, s, m or h")
      .map([](std::int64_t value) { return Duration(value); });
}

tl::expected<std::uint64_t, std::string> parse_byte_size(std::string_view text) {
  return parse_with_unit(text, kSizeUnits,
                         "a size: a whole number of bytes, or with the suffix KiB, MiB or GiB")
      .map([](std::int64_t value) { return static_cast<std::uint64_t>(value); });
}

std::string format_duration(Duration duration) {
  for (const Unit& unit : kDurationUnits) {
    if (duration.count() % unit.factor != 0) continue;
    return std::to_string(duration.count() / unit.factor) + std::string(unit.suffix);
  }
  return std::to_string(duration.count()) + "us";
}

}  // namespace shuntbank
