/// @file
/// The port to what engines and callers speak: names of header fields and the reading of values. An
/// implementation holds names and formats and decides nothing.
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
  std::string deadline_ms;      ///< How long the sender waits, in milliseconds.
  std::string last_event_id;    ///< Behind which a stream is taken up.
  std::string seal;             ///< The engine's signature on an answer.
  std::string retry_after;      ///< Seconds after which a refused caller may come again.
  std::string expected_engine;  ///< The engine that alone may run the request.
  std::string urgency;          ///< 0 (first) to 9.
  std::string stage;            ///< Set when the prompt is only to be read.
  std::string prompt_source;    ///< Engine and handle of a prompt that was read ahead.
  std::string fetch_from;       ///< Engine that keeps parts of the prompt.
  std::string tenant_key;       ///< The caller's secret; engines never see it.
  std::string tenant;           ///< The name of the tenant whose request an engine gets.
  std::vector<std::string> stripped_from_requests;  ///< Fields that only the system may set.
  std::vector<std::string> stripped_from_answers;   ///< Fields that concern only the system.
};

/// A prompt that an engine has read ahead.
struct PromptHandle {
  std::string handle;
  std::uint64_t tokens = 0;
};

/// What an engine tells of itself when asked.
struct EngineReport {
  EngineStage stage = EngineStage::kNone;
  std::uint64_t orders_accepted = 0;
  bool order_in_progress = false;                ///< An order is under way.
  bool draining = false;                         ///< It will end, and wants no new request.
  std::optional<std::uint64_t> started_unix_ms;  ///< Of the start that tells; unset: not told.
};

/// What could be read of an engine's words in the head of an answer, and what could not.
struct ParsedNotice {
  EngineNotice notice;
  std::vector<std::string> malformed_fields;  ///< Fields as they came, for the log.
};

/// An order to an engine to change its stage.
struct StageOrder {
  std::string engine;  ///< What it calls itself.
  std::string address;
  EngineStage stage = EngineStage::kDecode;
  std::string holder;                 ///< The node that gives the order.
  std::uint64_t fence = 0;            ///< Of the holder's lease; only grows.
  std::uint64_t expected_orders = 0;  ///< The engine refuses when it has taken another number.
};

/// Reads and writes what engines speak.
class EngineDialect {
 public:
  EngineDialect() = default;
  virtual ~EngineDialect() = default;
  EngineDialect(const EngineDialect&) = delete;
  EngineDialect& operator=(const EngineDialect&) = delete;

  virtual const HeaderNames& names() const = 0;

  /// @return the shape of the request's prompt, or nothing when none is told or it cannot be read.
  virtual std::optional<PromptShape> parse_prompt(const HttpHeaders& headers) const = 0;

  /// @return the load that came with an answer.
  virtual std::optional<ReportedLoad> parse_load(const HttpHeaders& headers) const = 0;

  /// @return what the engine says of itself beside its answer.
  virtual ParsedNotice parse_notice(int status, const HttpHeaders& headers) const = 0;

  /// @return whether the engine says that it did not run the request and never will.
  virtual bool is_refusal(int status, const HttpHeaders& headers) const = 0;

  /// @return the value of the stage field that has a prompt only read.
  virtual std::string prefill_stage_value() const = 0;

  /// @return the value that names a prompt read ahead.
  virtual std::string prompt_source_value(const std::string& address,
                                          const std::string& handle) const = 0;

  /// Reads the answer to a prompt that was only read.
  virtual tl::expected<PromptHandle, std::string> parse_prefill_answer(
      const std::string& body) const = 0;

  /// @return the call that frees a prompt read ahead.
  virtual OutgoingRequest release_handle_request(const std::string& address,
                                                 const std::string& handle) const = 0;

  /// @return the call that asks an engine for its report.
  virtual OutgoingRequest report_request(const std::string& address,
                                         const std::string& engine) const = 0;

  /// Reads the answer to `report_request`.
  virtual tl::expected<EngineReport, std::string> parse_report(const std::string& body) const = 0;

  /// @return the call that gives an order.
  virtual OutgoingRequest stage_order_request(const StageOrder& order) const = 0;
};

}  // namespace shuntbank::relay
