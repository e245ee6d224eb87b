#include "engine/prompt.hpp"

#include <algorithm>

namespace shuntbank {
namespace {

constexpr std::uint64_t kCharactersPerToken = 4;

/// Appends the text of a message's content, which is text or a list of parts.
void append_content(const nlohmann::json& content, const std::string& place, std::string& text,
                    Findings& findings) {
  if (content.is_string()) {
    text += content.get_ref<const std::string&>();
    return;
  }
  if (content.is_null()) return;
  if (!content.is_array()) {
    findings.add(place, "must be text or a list of parts");
    return;
  }
  for (const nlohmann::json& part : content) {
    const bool has_text = part.is_object() && part.contains("text") && part["text"].is_string();
    if (has_text) text += part["text"].get_ref<const std::string&>();
    if (!part.is_object()) findings.add(place, "must hold objects only");
  }
}

void parse_messages(const nlohmann::json& body, ParsedPrompt& parsed, Findings& findings) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    findings.add("/messages", "must be a list of at least one message");
    return;
  }
  std::size_t index = 0;
  for (const nlohmann::json& message : *messages) {
    const std::string place = "/messages/" + std::to_string(index++);
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
      findings.add(place, "must be an object with a role");
      continue;
    }
    parsed.text += message["role"].get_ref<const std::string&>() + ":";
    if (message.contains("content")) {
      append_content(message["content"], place + "/content", parsed.text, findings);
    }
    parsed.text += "\n";
  }
}

void parse_text_prompt(const nlohmann::json& body, ParsedPrompt& parsed, Findings& findings) {
  const auto prompt = body.find("prompt");
  if (prompt == body.end() || !prompt->is_string()) {
    findings.add("/prompt", "must be text");
    return;
  }
  parsed.text = prompt->get<std::string>();
}

bool parse_bool(const nlohmann::json& object, const char* key, const std::string& place,
                Findings& findings) {
  const auto field = object.find(key);
  if (field == object.end() || field->is_null()) return false;
  if (field->is_boolean()) return field->get<bool>();
  findings.add(place, "must be true or false");
  return false;
}

std::uint32_t parse_output_tokens(const nlohmann::json& body, Findings& findings) {
  for (const char* key : {"max_completion_tokens", "max_tokens"}) {
    const auto field = body.find(key);
    if (field == body.end() || field->is_null()) continue;
    const bool valid = field->is_number_unsigned() && field->get<std::uint64_t>() >= 1 &&
                       field->get<std::uint64_t>() <= kMaxOutputTokens;
    if (valid) return field->get<std::uint32_t>();
    findings.add(std::string("/") + key,
                 "must be a whole number from 1 to " + std::to_string(kMaxOutputTokens));
  }
  return kDefaultOutputTokens;
}

}  // namespace

ParsedPrompt parse_prompt(CompletionKind kind, const nlohmann::json& body, Findings& findings) {
  ParsedPrompt parsed;
  if (!body.is_object()) {
    findings.add("/", "must be an object");
    return parsed;
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    findings.add("/model", "must be text");
  } else {
    parsed.model = model->get<std::string>();
  }
  if (kind == CompletionKind::kChat) parse_messages(body, parsed, findings);
  if (kind == CompletionKind::kText) parse_text_prompt(body, parsed, findings);
  parsed.stream = parse_bool(body, "stream", "/stream", findings);
  const auto options = body.find("stream_options");
  if (options != body.end() && options->is_object()) {
    parsed.wants_usage =
        parse_bool(*options, "include_usage", "/stream_options/include_usage", findings);
  }
  parsed.max_output_tokens = parse_output_tokens(body, findings);
  const auto count = body.find("n");
  if (count != body.end() && !count->is_null() && *count != 1) {
    findings.add("/n", "must be 1: one answer for each request");
  }
  parsed.prompt_tokens = std::max<std::uint64_t>(1, parsed.text.size() / kCharactersPerToken);
  return parsed;
}

}  // namespace shuntbank
