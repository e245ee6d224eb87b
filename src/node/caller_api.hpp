/// @file
/// HTTP API for callers: OpenAI-compatible endpoints and plain services. Authenticates and
/// validates requests, then submits them to the queue. See docs/API.md.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "engine/prompt.hpp"
#include "net/http_server.hpp"
#include "node/config_service.hpp"
#include "node/request_queue.hpp"

namespace shuntbank {

/// Routes, authenticates and validates the requests of callers.
class CallerApi {
 public:
  CallerApi(Runtime& runtime, const NodeSettings& settings, const ConfigService& config,
            RequestQueue& queue, Metrics& metrics);

  /// Handles one request of a caller.
  void handle(HttpRequest request, const std::shared_ptr<HttpResponder>& responder);

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  const Tenant* authenticate(const HttpRequest& request, const Snapshot& snapshot) const;
  void list_models(const Snapshot& snapshot, const RequestId& id, const Responder& responder) const;
  void handle_completion(const HttpRequest& request, RequestId id, const Tenant& tenant,
                         CompletionKind kind, const Responder& responder);
  void handle_plain(HttpRequest request, RequestId id, const Tenant& tenant,
                    const Responder& responder);
  void submit(SessionRequest session, const HttpRequest& request, const Tenant& tenant,
              const Responder& responder);
  void refuse(const RequestId& id, const CallerError& error, const Responder& responder) const;

  Runtime& runtime_;
  const NodeSettings& settings_;
  const ConfigService& config_;
  RequestQueue& queue_;
  Metrics& metrics_;
};

}  // namespace shuntbank
