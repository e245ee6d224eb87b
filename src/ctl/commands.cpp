#include "ctl/commands.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <ostream>

#include "common/hash.hpp"
#include "common/units.hpp"
#include "ctl/declared_files.hpp"
#include "ctl/table.hpp"
#include "net/blocking_client.hpp"

namespace shuntbank {
namespace {

using nlohmann::json;

/// Options of all commands; each command registers only its own.
struct CtlOptions {
  std::string node = "127.0.0.1:8081";
  std::vector<std::string> files;
  std::vector<std::string> positional;
  std::string output_format = "table";
  std::string tenant;
  Duration grace = Duration::zero();
  bool remove = false;
};

/// Options and output streams of a command run.
struct Context {
  CtlOptions options;
  std::ostream& output;
  std::ostream& errors;

  bool as_json() const { return options.output_format == "json"; }
};

void add_node_options(OptionSet& set, CtlOptions& options) {
  set.add_text("node", options.node, "IP:PORT of any node's operators' interface.");
  set.add("output", "table or json.", "table",
          [&options](const std::string& text) -> tl::expected<void, std::string> {
            if (text != "table" && text != "json") {
              return tl::make_unexpected("'" + text + "' is neither table nor json");
            }
            options.output_format = text;
            return {};
          });
}

void add_file_option(OptionSet& set, CtlOptions& options) {
  set.add_text_list("file", options.files, "File or folder of declared objects; also -f.");
}

/// Status and JSON body of the node's answer to a call.
struct Answer {
  int status = 0;
  json body;
};

/// Calls the node. @return nothing after printing an error.
std::optional<Answer> call(const Context& context, const std::string& method,
                           const std::string& path, const json& body = nullptr) {
  OutgoingRequest request;
  request.method = method;
  request.url = "http://" + context.options.node + path;
  if (!body.is_null()) request.body = body.dump();
  request.total_timeout = std::chrono::seconds(30);
  const auto reply = fetch_blocking(std::move(request));
  if (!reply) {
    context.errors << context.options.node << ": " << reply.error().message << "\n";
    return std::nullopt;
  }
  return Answer{reply->status, json::parse(reply->body, nullptr, false)};
}

std::optional<ConfigDocument> fetch_document(const Context& context) {
  const auto answer = call(context, "GET", "/v1/config");
  if (!answer) return std::nullopt;
  auto document = document_from_json(answer->body);
  if (document) return *document;
  context.errors << document.error().to_text();
  return std::nullopt;
}

/// @return the declared objects; nothing if there were findings, which are then printed.
std::optional<DeclaredFiles> load_declared(const Context& context) {
  DeclaredFiles declared = read_declared_files(context.options.files);
  if (declared.findings.empty()) return declared;
  context.errors << declared.findings.to_text();
  return std::nullopt;
}

std::vector<ObjectEdit> make_edits(const ConfigDocument& current, const DeclaredFiles& declared) {
  std::vector<ObjectEdit> edits;
  for (const auto& [key, spec] : declared.objects) {
    const auto found = current.objects.find(key);
    const bool exists = found != current.objects.end() && !found->second.removed;
    if (exists && found->second.spec == spec) continue;
    edits.push_back({key, exists ? found->second.version : 0, spec});
  }
  return edits;
}

void print_difference(const Context& context, const ConfigDocument& current,
                      const std::vector<ObjectEdit>& edits) {
  for (const ObjectEdit& edit : edits) {
    const std::string sign = !edit.spec ? "- " : edit.base_version == 0 ? "+ " : "~ ";
    context.output << sign << edit.key.to_text() << "\n";
    if (edit.base_version == 0 || !edit.spec) continue;
    const json patch = json::diff(current.objects.at(edit.key).spec, *edit.spec);
    for (const json& operation : patch) context.output << "    " << operation.dump() << "\n";
  }
  if (edits.empty()) context.output << "no difference\n";
}

ExitCode print_rejection(const Context& context, const Answer& answer) {
  if (context.as_json()) context.output << answer.body.dump(2) << "\n";
  const json& body = answer.body;
  if (!body.is_object()) return ExitCode::kFailure;
  for (const json& conflict : body.value("conflicts", json::array())) {
    context.errors << "conflict: " << conflict.value("object", "") << " is at version "
                   << conflict.value("current_version", 0) << "; the edit is based on version "
                   << conflict.value("base_version", 0) << "\n";
  }
  for (const json& finding : body.value("findings", json::array())) {
    context.errors << finding.value("place", "") << ": " << finding.value("message", "") << "\n";
  }
  if (answer.status == 409) return ExitCode::kConflict;
  if (answer.status == 422) return ExitCode::kInvalid;
  context.errors << "not accepted: " << body.value("error", "")
                 << "; changed: " << body.value("changed", "unknown") << "\n";
  return ExitCode::kFailure;
}

ExitCode send_edits(const Context& context, const std::vector<ObjectEdit>& edits) {
  const auto answer = call(context, "POST", "/v1/config/changes", to_json(edits));
  if (!answer) return ExitCode::kFailure;
  if (answer->status != 200) return print_rejection(context, *answer);
  if (context.as_json()) {
    context.output << answer->body.dump(2) << "\n";
  } else {
    context.output << "accepted as revision " << answer->body.value("revision", 0) << "\n";
  }
  return ExitCode::kSuccess;
}

ExitCode run_validate(const Context& context) {
  const auto declared = load_declared(context);
  if (!declared) return ExitCode::kInvalid;
  const Findings findings = check_declared(declared->objects);
  context.errors << findings.to_text();
  if (!findings.empty()) return ExitCode::kInvalid;
  context.output << declared->objects.size() << " objects are valid\n";
  return ExitCode::kSuccess;
}

ExitCode run_apply(const Context& context, bool send) {
  const auto declared = load_declared(context);
  if (!declared) return ExitCode::kInvalid;
  const auto current = fetch_document(context);
  if (!current) return ExitCode::kFailure;
  const auto edits = make_edits(*current, *declared);
  if (!context.as_json()) print_difference(context, *current, edits);
  if (!send || edits.empty()) return ExitCode::kSuccess;
  return send_edits(context, edits);
}

/// Parses `Kind/name`. @return nothing after printing an error.
std::optional<ObjectKey> parse_object_name(const Context& context, const std::string& object_name) {
  const std::size_t slash = object_name.find('/');
  const auto kind = parse_object_kind(object_name.substr(0, slash));
  if (kind && slash != std::string::npos) return ObjectKey{*kind, object_name.substr(slash + 1)};
  context.errors << "'" << object_name << "' is not KIND/NAME\n";
  return std::nullopt;
}

ExitCode run_get(const Context& context) {
  const auto document = fetch_document(context);
  if (!document) return ExitCode::kFailure;
  if (context.as_json()) {
    context.output << to_json(*document).dump(2) << "\n";
    return ExitCode::kSuccess;
  }
  Table table({"KIND", "NAME", "VERSION"});
  for (const auto& [key, object] : document->objects) {
    const bool selected = context.options.positional.empty() ||
                          context.options.positional.front() == to_text(key.kind);
    if (object.removed || !selected) continue;
    table.add({to_text(key.kind), key.name, std::to_string(object.version)});
  }
  table.print(context.output);
  return ExitCode::kSuccess;
}

ExitCode run_describe(const Context& context) {
  if (context.options.positional.empty()) {
    context.errors << "name an object as KIND/NAME\n";
    return ExitCode::kUsage;
  }
  const auto key = parse_object_name(context, context.options.positional.front());
  if (!key) return ExitCode::kUsage;
  const auto document = fetch_document(context);
  if (!document) return ExitCode::kFailure;
  const auto found = document->objects.find(*key);
  if (found == document->objects.end() || found->second.removed) {
    context.errors << key->to_text() << " does not exist\n";
    return ExitCode::kFailure;
  }
  const json object{{"kind", to_text(key->kind)},
                    {"name", key->name},
                    {"version", found->second.version},
                    {"spec", found->second.spec}};
  context.output << object.dump(2) << "\n";
  return ExitCode::kSuccess;
}

ExitCode run_delete(const Context& context) {
  const auto document = fetch_document(context);
  if (!document) return ExitCode::kFailure;
  std::vector<ObjectEdit> edits;
  for (const std::string& object_name : context.options.positional) {
    const auto key = parse_object_name(context, object_name);
    if (!key) return ExitCode::kUsage;
    const auto found = document->objects.find(*key);
    if (found == document->objects.end() || found->second.removed) {
      context.errors << key->to_text() << " does not exist\n";
      return ExitCode::kFailure;
    }
    edits.push_back({*key, found->second.version, std::nullopt});
  }
  if (edits.empty()) {
    context.errors << "name objects as KIND/NAME\n";
    return ExitCode::kUsage;
  }
  return send_edits(context, edits);
}

void print_status(std::ostream& output, const json& status) {
  output << "node " << status.value("node", "") << " in " << status.value("zone", "")
         << ", revision " << status.value("revision", 0) << ", platform "
         << (status.value("platform_answers", false) ? "answers" : "does not answer") << "\n\n";
  Table members({"NODE", "ZONE", "STATE", "REVISION"});
  for (const json& member : status["members"]) {
    members.add({member["node"], member["zone"], member["state"], member["revision"].dump()});
  }
  members.print(output);
  output << "\n";
  Table duties({"SERVICE", "HOLDER", "FENCE", "ROLE CHANGES", "PLAN"});
  for (const json& duty : status["duties"]) {
    duties.add({duty["service"], duty["holder"],
                duty.contains("fence") ? duty["fence"].dump() : "-", duty["role_changes"].dump(),
                duty["plan"]});
  }
  duties.print(output);
  output << "\n";
  Table engines({"ENGINE", "ROLE", "STATE", "FENCE"});
  for (const json& engine : status["engines"]) {
    engines.add({engine["engine"], engine["role"], engine["state"], engine["fence"].dump()});
  }
  engines.print(output);
}

ExitCode run_status(const Context& context) {
  const auto answer = call(context, "GET", "/v1/status");
  if (!answer || answer->status != 200) return ExitCode::kFailure;
  if (context.as_json()) {
    context.output << answer->body.dump(2) << "\n";
  } else {
    print_status(context.output, answer->body);
  }
  return ExitCode::kSuccess;
}

ExitCode run_drain(const Context& context) {
  const auto answer = call(context, "POST", "/v1/drain");
  if (!answer || answer->status != 200) return ExitCode::kFailure;
  context.output << "the node is draining\n";
  return ExitCode::kSuccess;
}

/// Adds a new key to a tenant's spec; the previous key expires after the grace period.
json rotate_keys(const json& spec, const std::string& key, Duration grace) {
  json updated = spec;
  json keys = json::array();
  const auto now = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const std::int64_t expires_at =
      (now + std::chrono::duration_cast<std::chrono::seconds>(grace)).count();
  const json old_keys = spec.value("keys", json::array());
  if (!old_keys.empty() && grace > Duration::zero()) {
    json previous_key = old_keys.back();
    previous_key["expires_at"] = expires_at;
    keys.push_back(previous_key);
  }
  keys.push_back({{"sha256", sha256_hex(key)}});
  updated["keys"] = keys;
  return updated;
}

ExitCode run_tenant_key(const Context& context) {
  const auto document = fetch_document(context);
  if (!document) return ExitCode::kFailure;
  const ObjectKey object_key{ObjectKind::kTenant, context.options.tenant};
  const auto found = document->objects.find(object_key);
  if (found == document->objects.end() || found->second.removed) {
    context.errors << object_key.to_text() << " does not exist\n";
    return ExitCode::kFailure;
  }
  constexpr std::size_t kKeyBytes = 24;
  const std::string key = "sb-" + random_hex(kKeyBytes);
  const ObjectEdit edit{object_key, found->second.version,
                        rotate_keys(found->second.spec, key, context.options.grace)};
  const ExitCode code = send_edits(context, {edit});
  if (code == ExitCode::kSuccess) context.output << "key: " << key << "\n";
  return code;
}

/// A command's one-line help, option definitions and implementation.
struct Command {
  std::string help;
  std::function<void(OptionSet&, CtlOptions&)> define_options;
  std::function<ExitCode(const Context&)> run;
};

void define_positional(OptionSet& set, CtlOptions& options, const std::string& help) {
  add_node_options(set, options);
  set.accept_positional(options.positional, help);
}

std::map<std::string, Command> make_commands() {
  const auto file_and_node_options = [](OptionSet& set, CtlOptions& options) {
    add_node_options(set, options);
    add_file_option(set, options);
  };
  std::map<std::string, Command> commands;
  commands["apply"] = {"Show the difference and make the declared objects the configuration.",
                       file_and_node_options,
                       [](const Context& context) { return run_apply(context, true); }};
  commands["diff"] = {"Show what apply would change.", file_and_node_options,
                      [](const Context& context) { return run_apply(context, false); }};
  commands["validate"] = {"Check declared objects offline.", add_file_option, run_validate};
  commands["get"] = {"List objects.",
                     [](OptionSet& set, CtlOptions& options) {
                       define_positional(set, options, "[KIND]: only objects of that kind");
                     },
                     run_get};
  commands["describe"] = {
      "Print one object.",
      [](OptionSet& set, CtlOptions& options) { define_positional(set, options, "KIND/NAME"); },
      run_describe};
  commands["delete"] = {
      "Remove objects, all or none.",
      [](OptionSet& set, CtlOptions& options) { define_positional(set, options, "KIND/NAME ..."); },
      run_delete};
  commands["status"] = {"Show nodes, duties and engines.", add_node_options, run_status};
  commands["drain"] = {"Make the node leave without interrupting requests.", add_node_options,
                       run_drain};
  commands["tenant-key"] = {
      "Make a new key for a tenant; the previous key stays valid for the grace period.",
      [](OptionSet& set, CtlOptions& options) {
        add_node_options(set, options);
        set.add_text("tenant", options.tenant, "Name of the tenant.");
        set.require("tenant");
        set.add_duration("grace", options.grace, Duration(0), std::chrono::hours(24 * 30),
                         "How long the previous key stays valid.");
      },
      run_tenant_key};
  return commands;
}

void print_usage(const std::map<std::string, Command>& commands, std::ostream& output) {
  output << "usage: shuntbankctl COMMAND [options]\n\ncommands (each has --help):\n";
  for (const auto& [name, command] : commands)
    output << "  " << name << "\n      " << command.help << "\n";
  output << "\nexit codes: 0 done, 1 failed, 2 wrong options, 3 edit conflict, 4 invalid objects\n";
}

}  // namespace

ExitCode run_ctl(std::vector<std::string> arguments, std::ostream& output, std::ostream& errors) {
  const auto commands = make_commands();
  const std::string name = arguments.empty() ? "" : arguments.front();
  if (name == "--help") {
    print_usage(commands, output);
    return ExitCode::kSuccess;
  }
  if (name == "--version") {
    output << "shuntbank " SHUNTBANK_VERSION "\n";
    return ExitCode::kSuccess;
  }
  const auto command = commands.find(name);
  if (command == commands.end()) {
    errors << "'" << name << "' is not a known command\n";
    print_usage(commands, errors);
    return ExitCode::kUsage;
  }
  arguments.erase(arguments.begin());
  for (std::string& argument : arguments) {
    if (argument == "-f") argument = "--file";
  }
  Context context{{}, output, errors};
  OptionSet set("shuntbankctl " + name + " [options]");
  command->second.define_options(set, context.options);
  const OptionsOutcome outcome = set.read(arguments, output, errors);
  if (!outcome.run) return outcome.code;
  return command->second.run(context);
}

}  // namespace shuntbank
