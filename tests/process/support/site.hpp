/// @file
/// A complete site of processes on 127.0.0.1, with ports chosen by the kernel.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/load_generator.hpp"
#include "config/document.hpp"
#include "net/http_message.hpp"
#include "process/support/process.hpp"

namespace shuntbank::testing {

/// A reply and its parsed body, when that is JSON.
struct Reply {
  int status = 0;  ///< Zero: no reply.
  HttpHeaders headers;
  std::string body;
  nlohmann::json json;
};

/// Sends one request and waits for the reply.
Reply send(const std::string& method, const std::string& url, const std::string& body = "",
           const HttpHeaders& headers = {});

/// Size and process options of a site.
struct SiteOptions {
  int nodes = 3;
  int engines = 3;
  int plain_engines = 1;
  std::vector<std::string> node_options;
  std::vector<std::string> engine_options;
  nlohmann::json allowed_roles = nlohmann::json::array({"mixed"});
};

/// A platform, engines and nodes that know each other, with an active configuration.
class Site {
 public:
  explicit Site(SiteOptions options = {});

  std::string callers(std::size_t node) { return nodes.at(node)->address("callers"); }
  std::string operators(std::size_t node) { return nodes.at(node)->address("operators"); }
  std::string engine(std::size_t index) { return engines.at(index)->address("api"); }
  std::string platform_address() { return platform->address("api"); }

  /// Sends a completion request through a node.
  Reply send_request(std::size_t node, const nlohmann::json& body, HttpHeaders headers = {});

  /// @return a completion body for the stand-in engines.
  static nlohmann::json completion(const std::string& prompt, int tokens, bool stream = false);

  /// Injects faults into the platform or an engine.
  void set_faults(const std::string& address, const nlohmann::json& faults);

  nlohmann::json status(std::size_t node);
  nlohmann::json executions(std::size_t engine);

  /// @return number of executions of a request over all engines.
  int count_executions(const std::string& request_id);

  /// @return whether every engine accepted orders only with increasing stamps.
  bool orders_are_consistent();

  /// @return the node that holds the lease of the model service, or -1.
  int lease_holder();

  /// @return whether the claim group is stable and has three members, and all nodes have
  /// activated its newest view.
  bool claims_are_ready();

  /// Starts a node and registers it at the platform.
  void start_node(std::size_t index);

  /// @return whether all running nodes see `count` alive members.
  bool all_see_members(std::size_t count);

  /// @return settings of a load on all nodes.
  LoadSettings load_settings(double rate, Duration length, std::uint32_t output_tokens);

  /// Sends edits to a node's operators' interface.
  Reply change(std::size_t node, const std::vector<ObjectEdit>& edits);

  /// Sets a tenant's weight.
  Reply set_weight(std::size_t node, const std::string& tenant, Revision base, double weight);

  SiteOptions options;
  std::unique_ptr<Process> platform;
  std::vector<std::unique_ptr<Process>> engines;
  std::vector<std::unique_ptr<Process>> nodes;

 private:
  void register_machine(const std::string& name, const std::string& kind,
                        const std::string& address);
  void apply_configuration();
};

constexpr const char* kModel = "m";
constexpr const char* kTenantKey = "sb-test-key";
constexpr const char* kOtherTenantKey = "sb-other-key";

}  // namespace shuntbank::testing
