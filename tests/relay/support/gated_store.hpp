/// @file
/// One node's access to a store, which can be cut off while other nodes reach it.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "common/runtime.hpp"
#include "store/object_store.hpp"

namespace shuntbank::testing {

class GatedStore : public store::ObjectStore {
 public:
  GatedStore(Runtime& own_runtime, store::ObjectStore& own_store)
      : runtime(own_runtime), backend(own_store) {}

  store::CallId list(const std::string& kind, store::Freshness freshness, Duration timeout,
                     store::StoreHandler<store::ObjectList> handler) override {
    if (!this->open) return this->refuse(std::move(handler));
    return this->backend.list(kind, freshness, timeout, this->gated(timeout, std::move(handler)));
  }
  store::CallId watch(const std::string& kind, std::uint64_t revision, store::Freshness freshness,
                      Duration wait, Duration timeout,
                      store::StoreHandler<store::ChangeBatch> handler) override {
    if (!this->open) return this->refuse(std::move(handler));
    return this->backend.watch(kind, revision, freshness, wait, timeout,
                               this->gated(timeout, std::move(handler)));
  }
  std::size_t received(store::CallId call) const override { return this->backend.received(call); }
  void cancel(store::CallId call) override { this->backend.cancel(call); }
  void read(const std::string& kind, const std::string& name, Duration timeout,
            store::StoreHandler<store::StoredObject> handler) override {
    this->backend.read(kind, name, timeout, std::move(handler));
  }
  void create(const std::string& kind, const std::string& name, const nlohmann::json& content,
              Duration timeout, store::StoreHandler<store::StoredObject> handler) override {
    this->backend.create(kind, name, content, timeout, std::move(handler));
  }
  void replace(const std::string& kind, const std::string& name, std::uint64_t revision,
               const nlohmann::json& content, Duration timeout,
               store::StoreHandler<store::StoredObject> handler) override {
    this->backend.replace(kind, name, revision, content, timeout, std::move(handler));
  }
  void remove(const std::string& kind, const std::string& name, std::uint64_t revision,
              Duration timeout, store::StoreHandler<void> handler) override {
    this->backend.remove(kind, name, revision, timeout, std::move(handler));
  }

  /// Loses the answers to lists and watches that begin or end meanwhile; they time out.
  void set_silent(bool wanted) {
    this->silent = wanted;
    if (!wanted) return;
    for (const auto& call : this->calls) *call = true;
  }

  bool open = true;  ///< Lists and watches fail while it is not, also those under way.

 private:
  /// @return a handler that passes on the answer, or a timeout if that is lost.
  template <typename Value>
  store::StoreHandler<Value> gated(Duration timeout, store::StoreHandler<Value> handler) {
    auto lost = std::make_shared<bool>(this->silent);
    auto done = std::make_shared<bool>(false);
    this->calls.push_back(lost);
    this->timers.push_back(this->runtime.after(timeout, [lost, done, handler] {
      if (!*lost || std::exchange(*done, true)) return;
      handler(tl::make_unexpected(store::StoreError::kUncertain));
    }));
    return [this, lost, done, handler](tl::expected<Value, store::StoreError> value) {
      if (*lost || std::exchange(*done, true)) return;
      handler(this->open ? std::move(value) : tl::make_unexpected(store::StoreError::kUncertain));
    };
  }

  template <typename Value>
  store::CallId refuse(store::StoreHandler<Value> handler) {
    this->runtime.post([handler = std::move(handler)] {
      handler(tl::make_unexpected(store::StoreError::kNotDone));
    });
    return 0;
  }

  Runtime& runtime;
  store::ObjectStore& backend;
  bool silent = false;
  std::vector<std::shared_ptr<bool>> calls;  ///< Whether the answer is lost.
  std::vector<std::unique_ptr<Timer>> timers;
};

}  // namespace shuntbank::testing
