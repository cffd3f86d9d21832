#include "releases/release_input.h"

#include <algorithm>
#include <initializer_list>
#include <string>
#include <vector>

namespace robinhoist::releases {
namespace {

constexpr int max_depth = 32;
constexpr std::size_t max_labels = 64;
constexpr int max_build = 65535;
constexpr std::size_t max_name_size = 63;
constexpr std::size_t max_version_size = 20;
constexpr std::size_t max_description_size = 4096;

constexpr const char* metadata_pointer = "/metadata";
constexpr const char* name_pointer = "/metadata/name";
constexpr const char* labels_pointer = "/metadata/labels";
constexpr const char* version_pointer = "/metadata/resourceVersion";
constexpr const char* spec_pointer = "/spec";
constexpr const char* build_pointer = "/spec/build";
constexpr const char* description_pointer = "/spec/description";

// Escapes a name for use in a JSON pointer.
std::string escaped(std::string_view name) {
  std::string text;
  for (const char c : name) {
    if (c == '~')
      text += "~0";
    else if (c == '/')
      text += "~1";
    else
      text += c;
  }
  return text;
}

// The nesting depth of a value, counted up to `limit`.
int depth_of(const json::Value& value, int limit) {
  if (limit == 0)
    return 1;
  int deepest = 0;
  if (value.IsObject())
    for (const auto& member : value.GetObject())
      deepest = std::max(deepest, depth_of(member.value, limit - 1));
  if (value.IsArray())
    for (const auto& item : value.GetArray())
      deepest = std::max(deepest, depth_of(item, limit - 1));
  return deepest + 1;
}

std::string text_of(const json::Value& value) {
  return {value.GetString(), value.GetStringLength()};
}

// Returns null if the object has no such member.
const json::Value* find(const json::Value& object, const char* name) {
  const auto found = object.FindMember(name);
  return found == object.MemberEnd() ? nullptr : &found->value;
}

enum class LabelNulls { reject, remove };

// Reads fields of a request body and collects validation errors.
class Validator {
 public:
  const std::vector<FieldError>& errors() const { return errors_; }

  void add_error(std::string pointer, std::string detail) {
    errors_.push_back({std::move(pointer), std::move(detail)});
  }

  // Returns a member that is an object; null if it is absent or not an object, which is an error.
  const json::Value* object(const json::Value& parent, const char* name) {
    const json::Value* value = find(parent, name);
    if (value && !value->IsObject()) {
      add_error(std::string("/") + name, "is not an object");
      return nullptr;
    }
    return value;
  }

  // Checks that an object has only the allowed members and no duplicates.
  void allow_only(const json::Value& object, const std::string& pointer,
                  std::initializer_list<const char*> allowed) {
    std::vector<std::string> seen;
    for (const auto& member : object.GetObject()) {
      const std::string name = text_of(member.name);
      if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
        add_error(pointer + "/" + escaped(name), "is no field here");
      if (std::find(seen.begin(), seen.end(), name) != seen.end())
        add_error(pointer + "/" + escaped(name), "is there twice");
      seen.push_back(name);
    }
  }

  std::optional<std::string> text(const json::Value& value, const char* pointer,
                                  std::size_t max_size) {
    if (!value.IsString()) {
      add_error(pointer, "is not a string");
      return {};
    }
    if (value.GetStringLength() > max_size) {
      add_error(pointer, "is longer than " + std::to_string(max_size) + " bytes");
      return {};
    }
    return text_of(value);
  }

  // Adds the labels in a body to `labels`. With LabelNulls::remove, null removes a label.
  objects::Fields add_labels(const json::Value& value, objects::Fields labels, LabelNulls nulls) {
    if (!value.IsObject()) {
      add_error(labels_pointer, "is not an object");
      return labels;
    }
    for (const auto& member : value.GetObject()) {
      const std::string name = text_of(member.name);
      const bool removes = nulls == LabelNulls::remove && member.value.IsNull();
      if (removes && objects::is_label_name(name))
        labels.erase(name);
      else if (check_label(name, member.value))
        labels[name] = member.value.GetString();
    }
    if (labels.size() > max_labels)
      add_error(labels_pointer, "has more than " + std::to_string(max_labels) + " labels");
    return labels;
  }

  // Checks that a read-only field is absent or unchanged.
  void require_unchanged(const json::Value& object, const char* name,
                         const std::string& parent_pointer, const std::string& current) {
    const json::Value* value = find(object, name);
    if (!value)
      return;
    const bool same = value->IsString()
                          ? current == value->GetString()
                          : value->IsInt64() && current == std::to_string(value->GetInt64());
    if (!same)
      add_error(parent_pointer + "/" + name, "can't be changed");
  }

 private:
  bool check_label(const std::string& name, const json::Value& value) {
    const std::string pointer = std::string(labels_pointer) + "/" + escaped(name);
    if (!objects::is_label_name(name)) {
      add_error(pointer, "is no name that a label can have");
      return false;
    }
    if (!value.IsString()) {
      add_error(pointer, "is not a string");
      return false;
    }
    if (!objects::is_label_value(value.GetString())) {
      add_error(pointer, "is no value that a label can have");
      return false;
    }
    return true;
  }

  std::vector<FieldError> errors_{};
};

void read_new_metadata(Validator& validator, const json::Value& metadata, Release& release) {
  validator.allow_only(metadata, metadata_pointer, {"name", "labels"});
  if (const json::Value* value = find(metadata, "name")) {
    release.name = validator.text(*value, name_pointer, max_name_size).value_or("");
    const bool is_text = value->IsString() && value->GetStringLength() <= max_name_size;
    if (is_text && !objects::is_object_name(release.name))
      validator.add_error(name_pointer,
                          "is not made of a-z, 0-9 and dashes, with no dash at either end");
  }
  if (const json::Value* value = find(metadata, "labels"))
    release.labels = validator.add_labels(*value, {}, LabelNulls::reject);
}

void read_new_spec(Validator& validator, const json::Value& spec, Release& release) {
  validator.allow_only(spec, spec_pointer, {"build", "description"});
  const json::Value* build = find(spec, "build");
  if (!build)
    validator.add_error(build_pointer, "is missing");
  else if (!build->IsInt() || build->GetInt() < 1 || build->GetInt() > max_build)
    validator.add_error(build_pointer,
                        "is not a whole number from 1 to " + std::to_string(max_build));
  else
    release.build = build->GetInt();
  if (const json::Value* value = find(spec, "description"))
    release.description =
        validator.text(*value, description_pointer, max_description_size).value_or("");
}

std::optional<std::int64_t> read_version(Validator& validator, const json::Value& value) {
  const auto text = validator.text(value, version_pointer, max_version_size);
  if (!text)
    return {};
  char* end = nullptr;
  const std::int64_t version = std::strtoll(text->c_str(), &end, 10);
  if (text->empty() || *end != '\0')
    validator.add_error(version_pointer, "is no version");
  return version;
}

void patch_metadata(Validator& validator, const json::Value& metadata, PatchedRelease& patched) {
  Release& release = patched.release;
  validator.allow_only(metadata, metadata_pointer, {"name", "uid", "labels", "resourceVersion"});
  validator.require_unchanged(metadata, "name", metadata_pointer, release.name);
  validator.require_unchanged(metadata, "uid", metadata_pointer, release.uid);
  if (const json::Value* value = find(metadata, "resourceVersion"))
    patched.expected_version = read_version(validator, *value);
  if (const json::Value* value = find(metadata, "labels")) {
    if (value->IsNull())
      release.labels.clear();
    else
      release.labels = validator.add_labels(*value, release.labels, LabelNulls::remove);
  }
}

void patch_spec(Validator& validator, const json::Value& spec, Release& release) {
  validator.allow_only(spec, spec_pointer, {"build", "description"});
  validator.require_unchanged(spec, "build", spec_pointer, std::to_string(release.build));
  if (const json::Value* value = find(spec, "description")) {
    if (value->IsNull())
      release.description.clear();
    else
      release.description = validator.text(*value, description_pointer, max_description_size)
                                .value_or(release.description);
  }
}

}  // namespace

rapidjson::Document parse_document(std::string_view text) {
  rapidjson::Document document = json::parse_object(text);
  // Limits the stack depth of code that traverses a document recursively.
  if (depth_of(document, max_depth + 1) > max_depth)
    throw json::DecodeError("nested deeper than " + std::to_string(max_depth));
  return document;
}

Release parse_creation(const json::Value& body) {
  Validator validator;
  Release release;
  validator.allow_only(body, "", {"metadata", "spec", "apiVersion", "kind"});
  if (const json::Value* metadata = validator.object(body, "metadata"))
    read_new_metadata(validator, *metadata, release);
  if (!body.HasMember("spec"))
    validator.add_error(spec_pointer, "is missing");
  else if (const json::Value* spec = validator.object(body, "spec"))
    read_new_spec(validator, *spec, release);
  if (!validator.errors().empty())
    throw invalid_release(validator.errors());
  if (release.name.empty())
    release.name = "build-" + std::to_string(release.build);
  return release;
}

PatchedRelease apply_patch(const Release& release, const json::Value& patch) {
  Validator validator;
  PatchedRelease patched{release, {}};
  validator.allow_only(patch, "", {"metadata", "spec", "apiVersion", "kind"});
  if (const json::Value* metadata = validator.object(patch, "metadata"))
    patch_metadata(validator, *metadata, patched);
  if (const json::Value* spec = validator.object(patch, "spec"))
    patch_spec(validator, *spec, patched.release);
  if (!validator.errors().empty())
    throw invalid_patch(validator.errors());
  if (patched.release.description != release.description)
    ++patched.release.generation;
  return patched;
}

}  // namespace robinhoist::releases
