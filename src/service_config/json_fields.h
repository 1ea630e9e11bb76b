// Reads fields of a JSON object. Called by the readers of a server's start parameters and of the wire host's
// messages, on the thread that reads. Owns nothing. Each reader throws FieldError for a field of another
// kind, and where no value for an absent field is given, for a missing one.
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

// A field that can't be used. `object_mark` identifies the object that holds or lacks it for as long as the
// document lives (error_location.h).
class FieldError : public std::runtime_error {
 public:
  FieldError(object in, std::string_view name, const std::string& what);

  std::string field;
  std::string fault;
  const char* object_mark = nullptr;
};

// Throws FieldError.
[[noreturn]] void fail(object in, std::string_view field, const std::string& what);
// The address of the object's first key, which no other object shares; nullptr for an object without keys.
const char* mark_of(object fields);
// No value where the field is missing or null.
std::optional<element> find(object fields, std::string_view name);
// A number without a fraction, however it is written.
std::int64_t integer(object fields, std::string_view name);
std::int64_t integer_or(object fields, std::string_view name, std::int64_t absent);
double number(object in, std::string_view name, element value);
double number(object fields, std::string_view name);
double number_or(object fields, std::string_view name, double absent);
// False where the field is missing.
bool boolean(object fields, std::string_view name);
std::string text(object fields, std::string_view name);
std::string text_or(object fields, std::string_view name, std::string_view absent);
object object_field(object fields, std::string_view name);

// A string that is one of the names of `values`.
template <class Value>
Value enum_value(object fields, std::string_view name,
                 std::initializer_list<std::pair<std::string_view, Value>> values, std::string_view absent) {
  std::string given = text_or(fields, name, absent);
  for (const auto& [known, value] : values) {
    if (known == given) return value;
  }
  fail(fields, name, "has the unknown value '" + given + "'");
}

}  // namespace myrtlecroft::config
