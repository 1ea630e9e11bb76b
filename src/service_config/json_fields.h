// Reads fields of a JSON object. Called by the readers of a server's start parameters and of the wire host's
// messages, on the reader's thread. Each function that reads a field throws FieldError for a field of another
// type, and also for a missing field if it has no default value. A null field counts as missing.
#pragma once

#include <simdjson.h>

#include <initializer_list>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace myrtlecroft::config {

using simdjson::dom::element;
using simdjson::dom::object;

// An invalid or missing field. `object_key_address` is first_key_address() of the object that the field
// belongs to; it identifies the object as long as the document exists (error_location.h).
class FieldError : public std::runtime_error {
 public:
  FieldError(object parent, std::string_view name, const std::string& what);

  std::string field;
  std::string message;  // without the field's name
  const char* object_key_address = nullptr;
};

// Throws FieldError; the field's name and `what` make up the message.
[[noreturn]] void fail(object parent, std::string_view field, const std::string& what);
// The address of the object's first key, which no other object shares; nullptr for an object without keys.
const char* first_key_address(object fields);
// Returns no value if the field is missing or null.
std::optional<element> find(object fields, std::string_view name);
// Accepts any number without a fraction, also in the forms 3.0 and 3e2.
std::int64_t integer(object fields, std::string_view name);
std::int64_t integer_or(object fields, std::string_view name, std::int64_t default_value);
// Converts `value`, an entry of the list `name` in `parent`. Throws FieldError if it is not a number.
double number(object parent, std::string_view name, element value);
double number(object fields, std::string_view name);
double number_or(object fields, std::string_view name, double default_value);
// False if the field is missing.
bool boolean(object fields, std::string_view name);
std::string text(object fields, std::string_view name);
std::string text_or(object fields, std::string_view name, std::string_view default_value);
object object_field(object fields, std::string_view name);

// Reads a string and returns the value that `values` has for it. A missing field counts as the string
// `default_value`.
template <class Value>
Value enum_value(object fields, std::string_view name,
                 std::initializer_list<std::pair<std::string_view, Value>> values,
                 std::string_view default_value) {
  std::string field_text = text_or(fields, name, default_value);
  for (const auto& [value_name, value] : values) {
    if (value_name == field_text) return value;
  }
  fail(fields, name, "has the unknown value '" + field_text + "'");
}

}  // namespace myrtlecroft::config
