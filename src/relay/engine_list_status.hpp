/// @file
/// Whether a node's list of engines is the store's.
#pragma once

#include <functional>

namespace shuntbank::relay {

/// How current a node's list of engines is.
class EngineListStatus {
 public:
  /// Called once.
  using Handler = std::function<void(bool confirmed)>;

  EngineListStatus() = default;
  virtual ~EngineListStatus() = default;
  EngineListStatus(const EngineListStatus&) = delete;
  EngineListStatus& operator=(const EngineListStatus&) = delete;

  /// Reports each engine that was listed until this call and that the node has not seen, as
  /// `StreamOrigins::on_engine_listed`. The handler gets whether the store has answered.
  virtual void confirm(Handler handler) = 0;

  /// @return whether engines that the node has never seen may have begun streams which callers
  /// still take up.
  virtual bool may_have_missed_engines() const = 0;
};

}  // namespace shuntbank::relay
