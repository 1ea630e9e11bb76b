#include "service_config/error_location.h"

#include <algorithm>
#include <optional>

namespace myrtlecroft::config {
namespace {

namespace ondemand = simdjson::ondemand;

struct Step {
  std::string pointer;  // as JSON pointers write it: /settings/classes/0
  std::string path;     // as people do: settings.classes[0]
};

std::optional<Step> find_object(element here, const char* mark, const Step& at) {
  simdjson::dom::array entries;
  if (here.get(entries) == simdjson::SUCCESS) {
    std::size_t number = 0;
    for (element entry : entries) {
      std::string index = std::to_string(number++);
      if (auto found = find_object(entry, mark, {at.pointer + "/" + index, at.path + "[" + index + "]"}))
        return found;
    }
    return std::nullopt;
  }
  object fields;
  if (here.get(fields) != simdjson::SUCCESS) return std::nullopt;
  if (mark_of(fields) == mark) return at;
  for (auto [key, value] : fields) {
    std::string name(key);
    Step next{at.pointer + "/" + name, at.path.empty() ? name : at.path + "." + name};
    if (auto found = find_object(value, mark, next)) return found;
  }
  return std::nullopt;
}

int line_of(const char* place, const simdjson::padded_string& text) {
  return 1 + static_cast<int>(std::count(text.data(), place, '\n'));
}

std::optional<int> line_at(const std::string& pointer, const simdjson::padded_string& text) {
  ondemand::parser parser;
  ondemand::document document;
  if (parser.iterate(text).get(document) != simdjson::SUCCESS) return std::nullopt;
  const char* place = nullptr;
  if (pointer.empty()) {
    if (document.current_location().get(place) != simdjson::SUCCESS) return std::nullopt;
    return line_of(place, text);
  }
  ondemand::value value;
  if (document.at_pointer(pointer).get(value) != simdjson::SUCCESS) return std::nullopt;
  if (value.current_location().get(place) != simdjson::SUCCESS) return std::nullopt;
  return line_of(place, text);
}

// Reads every value, so that the first fault is met. The depth is bounded by the parser.
simdjson::error_code walk(ondemand::value value) {
  ondemand::json_type type{};
  if (auto error = value.type().get(type)) return error;
  if (type == ondemand::json_type::array) {
    ondemand::array entries;
    if (auto error = value.get_array().get(entries)) return error;
    for (auto entry : entries) {
      ondemand::value inner;
      if (auto error = entry.get(inner)) return error;
      if (auto error = walk(inner)) return error;
    }
    return simdjson::SUCCESS;
  }
  if (type == ondemand::json_type::object) {
    ondemand::object fields;
    if (auto error = value.get_object().get(fields)) return error;
    for (auto field : fields) {
      ondemand::value inner;
      if (auto error = field.value().get(inner)) return error;
      if (auto error = walk(inner)) return error;
    }
    return simdjson::SUCCESS;
  }
  if (type == ondemand::json_type::string) return value.get_string().error();
  if (type == ondemand::json_type::number) return value.get_double().error();
  if (type == ondemand::json_type::boolean) return value.get_bool().error();
  bool null = false;
  if (auto error = value.is_null().get(null)) return error;
  return null ? simdjson::SUCCESS : simdjson::N_ATOM_ERROR;
}

}  // namespace

std::string format_with_location(const FieldError& error, element root, const simdjson::padded_string& text) {
  std::optional<Step> in = error.object_mark ? find_object(root, error.object_mark, {}) : std::nullopt;
  if (!in) return std::string(" ") + error.what();
  std::optional<int> line = line_at(in->pointer + "/" + error.field, text);
  if (!line) line = line_at(in->pointer, text);
  std::string path = in->path.empty() ? error.field : in->path + "." + error.field;
  return (line ? std::to_string(*line) + ": " : " ") + path + ": " + error.fault;
}

std::string format_with_location(simdjson::error_code error, const simdjson::padded_string& text) {
  ondemand::parser parser;
  ondemand::document document;
  const char* place = nullptr;
  if (parser.iterate(text).get(document) == simdjson::SUCCESS) {
    ondemand::value value;
    auto met = document.get_value().get(value);
    if (met == simdjson::SUCCESS) met = walk(value);
    if (met != simdjson::SUCCESS && document.current_location().get(place) != simdjson::SUCCESS)
      place = nullptr;
  }
  // A fault that is found only at the end, as a bracket that is never closed, has no line.
  return (place ? std::to_string(line_of(place, text)) + ": " : " ") +
         std::string(simdjson::error_message(error));
}

}  // namespace myrtlecroft::config
