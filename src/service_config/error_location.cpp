#include "service_config/error_location.h"

#include <algorithm>
#include <optional>

namespace myrtlecroft::config {
namespace {

namespace ondemand = simdjson::ondemand;

// Place of a value in a JSON document.
struct JsonLocation {
  std::string pointer;  // as a JSON pointer: /settings/classes/0
  std::string path;     // as shown in messages: settings.classes[0]
};

// Searches `node` and everything in it for the object whose first key is at `key_address`. `location` is the
// place of `node`.
std::optional<JsonLocation> locate_object(element node, const char* key_address,
                                          const JsonLocation& location) {
  simdjson::dom::array entries;
  if (node.get(entries) == simdjson::SUCCESS) {
    std::size_t entry_index = 0;
    for (element entry : entries) {
      std::string index = std::to_string(entry_index++);
      if (auto found = locate_object(entry, key_address,
                                     {location.pointer + "/" + index, location.path + "[" + index + "]"}))
        return found;
    }
    return std::nullopt;
  }
  object fields;
  if (node.get(fields) != simdjson::SUCCESS) return std::nullopt;
  if (first_key_address(fields) == key_address) return location;
  for (auto [key, value] : fields) {
    std::string name(key);
    JsonLocation field_location{location.pointer + "/" + name,
                                location.path.empty() ? name : location.path + "." + name};
    if (auto found = locate_object(value, key_address, field_location)) return found;
  }
  return std::nullopt;
}

// Line number, from 1, of a position in `text`.
int line_of_position(const char* position, const simdjson::padded_string& text) {
  return 1 + static_cast<int>(std::count(text.data(), position, '\n'));
}

// Line of the value at a JSON pointer. Returns no value if there is none.
std::optional<int> line_of_pointer(const std::string& pointer, const simdjson::padded_string& text) {
  ondemand::parser parser;
  ondemand::document document;
  if (parser.iterate(text).get(document) != simdjson::SUCCESS) return std::nullopt;
  const char* position = nullptr;
  if (pointer.empty()) {
    if (document.current_location().get(position) != simdjson::SUCCESS) return std::nullopt;
    return line_of_position(position, text);
  }
  ondemand::value value;
  if (document.at_pointer(pointer).get(value) != simdjson::SUCCESS) return std::nullopt;
  if (value.current_location().get(position) != simdjson::SUCCESS) return std::nullopt;
  return line_of_position(position, text);
}

// Reads every value inside `value` and returns the first error. The parser bounds the depth.
simdjson::error_code validate_values(ondemand::value value) {
  ondemand::json_type type{};
  if (auto error = value.type().get(type)) return error;
  if (type == ondemand::json_type::array) {
    ondemand::array entries;
    if (auto error = value.get_array().get(entries)) return error;
    for (auto entry : entries) {
      ondemand::value inner;
      if (auto error = entry.get(inner)) return error;
      if (auto error = validate_values(inner)) return error;
    }
    return simdjson::SUCCESS;
  }
  if (type == ondemand::json_type::object) {
    ondemand::object fields;
    if (auto error = value.get_object().get(fields)) return error;
    for (auto field : fields) {
      ondemand::value inner;
      if (auto error = field.value().get(inner)) return error;
      if (auto error = validate_values(inner)) return error;
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
  std::optional<JsonLocation> object_location =
      error.object_key_address ? locate_object(root, error.object_key_address, {}) : std::nullopt;
  if (!object_location) return std::string(" ") + error.what();
  std::optional<int> line = line_of_pointer(object_location->pointer + "/" + error.field, text);
  if (!line) line = line_of_pointer(object_location->pointer, text);
  std::string path = object_location->path.empty() ? error.field : object_location->path + "." + error.field;
  return (line ? std::to_string(*line) + ": " : " ") + path + ": " + error.message;
}

std::string format_with_location(simdjson::error_code error, const simdjson::padded_string& text) {
  ondemand::parser parser;
  ondemand::document document;
  const char* position = nullptr;
  if (parser.iterate(text).get(document) == simdjson::SUCCESS) {
    ondemand::value value;
    auto parse_error = document.get_value().get(value);
    if (parse_error == simdjson::SUCCESS) parse_error = validate_values(value);
    if (parse_error != simdjson::SUCCESS && document.current_location().get(position) != simdjson::SUCCESS)
      position = nullptr;
  }
  // An error that is found only at the end of the text, such as a bracket that is never closed, has no line.
  return (position ? std::to_string(line_of_position(position, text)) + ": " : " ") +
         std::string(simdjson::error_message(error));
}

}  // namespace myrtlecroft::config
