#include "ctl/declared_files.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "config/field_reader.hpp"
#include "config/snapshot.hpp"

namespace shuntbank {
namespace {

std::vector<std::string> list_files(const std::vector<std::string>& paths, Findings& findings) {
  std::vector<std::string> files;
  for (const std::string& path : paths) {
    std::error_code error;
    if (!std::filesystem::is_directory(path, error)) {
      files.push_back(path);
      continue;
    }
    for (const auto& entry : std::filesystem::directory_iterator(path, error)) {
      if (entry.path().extension() == ".json") files.push_back(entry.path().string());
    }
    if (error) findings.add(path, error.message());
  }
  std::sort(files.begin(), files.end());
  return files;
}

void parse_object(const nlohmann::json& item, const std::string& place, DeclaredFiles& declared) {
  FieldReader reader(item, place, declared.findings);
  const std::string kind_text = reader.text("kind", true);
  const std::string name = reader.text("name", true);
  const nlohmann::json spec = reader.object("spec");
  reader.finish();
  const auto kind = parse_object_kind(kind_text);
  if (!kind && !kind_text.empty()) {
    reader.add_finding("kind", "'" + kind_text + "' is none of Engine, Service, Tenant, Policy");
  }
  if (!kind || name.empty()) return;
  const ObjectKey key{*kind, name};
  const bool added = declared.objects.emplace(key, spec).second;
  if (!added) declared.findings.add(place, key.to_text() + " is declared twice");
}

void read_file(const std::string& path, DeclaredFiles& declared) {
  std::ifstream file(path);
  if (!file) return declared.findings.add(path, "cannot be read");
  nlohmann::json content;
  try {
    content = nlohmann::json::parse(file);
  } catch (const nlohmann::json::exception& error) {
    return declared.findings.add(path, error.what());
  }
  if (!content.is_array()) return parse_object(content, path + ":", declared);
  std::size_t index = 0;
  for (const nlohmann::json& item : content) {
    parse_object(item, path + ":/" + std::to_string(index++), declared);
  }
}

}  // namespace

DeclaredFiles read_declared_files(const std::vector<std::string>& paths) {
  DeclaredFiles declared;
  if (paths.empty()) declared.findings.add("--file", "is required");
  for (const std::string& file : list_files(paths, declared.findings)) read_file(file, declared);
  return declared;
}

Findings check_declared(const std::map<ObjectKey, nlohmann::json>& objects) {
  ConfigDocument document;
  document.revision = 1;
  for (const auto& [key, spec] : objects) document.objects[key] = {1, false, spec};
  const auto snapshot = Snapshot::build(document);
  return snapshot ? Findings() : snapshot.error();
}

}  // namespace shuntbank
