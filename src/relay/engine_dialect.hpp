/// @file
/// Interface to the protocol of engines and callers: header names and message formats.
/// Implementations translate only and make no decisions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/relay/engine_directory.hpp"
#include "core/relay/engine_notice.hpp"
#include "core/relay/routes.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"

namespace shuntbank::relay {

/// Names of the header fields that the relay reads, sets or removes.
struct HeaderNames {
  std::string request_id;       ///< Set by the caller, echoed by the engine.
  std::string deadline_ms;      ///< Time that the sender waits, in milliseconds.
  std::string last_event_id;    ///< Event after which a stream resumes.
  std::string resumed_request;  ///< The request that brought the first event of a resumed stream.
  std::string seal;             ///< The engine's signature on an answer.
  std::string retry_after;      ///< Seconds after which a refused caller may retry.
  std::string expected_engine;  ///< The only engine that may run the request.
  std::string urgency;          ///< 0 (most urgent) to 9.
  std::string stage;            ///< Set for a remote prefill.
  std::string prompt_source;    ///< Engine and handle of a prefilled prompt.
  std::string fetch_from;       ///< Engine to fetch cached prompt parts from.
  std::string tenant_key;       ///< The caller's secret; never sent to engines.
  std::string tenant;           ///< The caller's tenant, sent to engines.
  std::vector<std::string> stripped_from_requests;  ///< Reserved for the system.
  std::vector<std::string> stripped_from_answers;   ///< Internal to the system.
};

/// A prompt that an engine has prefilled for handover.
struct PromptHandle {
  std::string handle;
  std::uint64_t tokens = 0;
};

/// An engine's answer to a status request.
struct EngineReport {
  EngineStage stage = EngineStage::kNone;
  std::uint64_t orders_accepted = 0;
  bool order_in_progress = false;                ///< A stage change is in progress.
  bool draining = false;                         ///< Takes no new requests and will shut down.
  std::optional<std::uint64_t> started_unix_ms;  ///< Of this incarnation; unset: not reported.
};

/// Notice fields of an answer's head.
struct ParsedNotice {
  EngineNotice notice;
  std::vector<std::string> malformed_fields;  ///< As received, for the log.
};

/// Orders an engine to change its stage.
struct StageOrder {
  std::string engine;  ///< The engine's own name.
  std::string address;
  EngineStage stage = EngineStage::kDecode;
  std::string holder;                 ///< The lease holder that gives the order.
  std::uint64_t fence = 0;            ///< Fencing token of the holder's lease; never decreases.
  std::uint64_t expected_orders = 0;  ///< The engine refuses if its `orders_accepted` differs.
};

/// Parses and builds the messages of the engine protocol.
class EngineDialect {
 public:
  EngineDialect() = default;
  virtual ~EngineDialect() = default;
  EngineDialect(const EngineDialect&) = delete;
  EngineDialect& operator=(const EngineDialect&) = delete;

  virtual const HeaderNames& names() const = 0;

  /// @return the shape of the request's prompt, or nothing when it is missing or malformed.
  virtual std::optional<PromptShape> parse_prompt(const HttpHeaders& headers) const = 0;

  /// @return the sum of the prompt's tokens and the maximum number of output tokens, or nothing
  /// when they are missing or malformed.
  virtual std::optional<std::uint64_t> parse_token_count(const HttpHeaders& headers) const = 0;

  /// @return the load reported with an answer, or nothing.
  virtual std::optional<ReportedLoad> parse_load(const HttpHeaders& headers) const = 0;

  /// @return the notice that the engine sent with its answer.
  virtual ParsedNotice parse_notice(int status, const HttpHeaders& headers) const = 0;

  /// @return whether the engine refused the request: it did not run it and never will.
  virtual bool is_refusal(int status, const HttpHeaders& headers) const = 0;

  /// @return whether callers take this status for a promise that the request has not run and never
  /// will.
  virtual bool promises_not_run(int status) const = 0;

  /// @return the value of the stage field for a remote prefill.
  virtual std::string prefill_stage_value() const = 0;

  /// @return the value of the field that names a prefilled prompt.
  virtual std::string prompt_source_value(const std::string& address,
                                          const std::string& handle) const = 0;

  /// Parses the answer to a remote prefill.
  virtual tl::expected<PromptHandle, std::string> parse_prefill_answer(
      const std::string& body) const = 0;

  /// @return the call that frees a prefilled prompt.
  virtual OutgoingRequest release_handle_request(const std::string& address,
                                                 const std::string& handle) const = 0;

  /// @return the call that requests an engine's status.
  virtual OutgoingRequest report_request(const std::string& address,
                                         const std::string& engine) const = 0;

  /// Parses the answer to `report_request`.
  virtual tl::expected<EngineReport, std::string> parse_report(const std::string& body) const = 0;

  /// @return the call that sends an order.
  virtual OutgoingRequest stage_order_request(const StageOrder& order) const = 0;
};

}  // namespace shuntbank::relay
