/// @file
/// HTTP API for operators: configuration, status, health and metrics, on an address of its own.
/// See docs/API.md.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/http_server.hpp"
#include "node/claim_service.hpp"
#include "node/cluster_service.hpp"
#include "node/config_service.hpp"
#include "node/control_service.hpp"
#include "node/metrics.hpp"

namespace shuntbank {

/// Handles the requests of operators.
class OperatorApi {
 public:
  /// @param not_ready_reasons returns why the node is not ready; empty if it is.
  OperatorApi(ConfigService& config, const ClusterService& cluster, const ControlService& control,
              const ClaimService& claims, Metrics& metrics,
              std::function<std::string()> not_ready_reasons, std::function<void()> on_leave);

  void handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder);

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void change_config(const HttpRequest& request, const Responder& responder);
  nlohmann::json status() const;
  nlohmann::json claims_json() const;
  HttpReply readiness() const;

  ConfigService& config_;
  const ClusterService& cluster_;
  const ControlService& control_;
  const ClaimService& claims_;
  Metrics& metrics_;
  std::function<std::string()> not_ready_reasons_;
  std::function<void()> on_leave_;
};

}  // namespace shuntbank
