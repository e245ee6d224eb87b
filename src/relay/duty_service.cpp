#include "relay/duty_service.hpp"

namespace shuntbank::relay {

const char* to_text(DutyOutcome outcome) {
  switch (outcome) {
    case DutyOutcome::kDone:
      return "done";
    case DutyOutcome::kRefused:
      return "refused";
    case DutyOutcome::kThrottled:
      return "throttled";
    case DutyOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace shuntbank::relay
