// Fields of a JSON object. Each reader names the field when it is missing or of the wrong kind.
#pragma once

#include <simdjson.h>

#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace myrtlecroft::config {

using simdjson::dom::element;
using simdjson::dom::object;

// What is wrong with a field, or with what should be one. `object_mark` tells the object that holds or lacks
// it, as long as the document lives: see place.h.
class FieldError : public std::runtime_error {
 public:
  FieldError(object in, std::string_view name, const std::string& what);

  std::string field;
  std::string fault;
  const char* object_mark = nullptr;
};

[[noreturn]] void bad(object in, std::string_view field, const std::string& what);
// Where the object's first key was put, which no other object shares; none of an object without keys.
const char* mark_of(object fields);
bool find(object fields, std::string_view name, element& value);
std::int64_t whole(object fields, std::string_view name);
std::int64_t integer_or(object fields, std::string_view name, std::int64_t absent);
double number(object in, std::string_view name, element value);
double number(object fields, std::string_view name);
double number_or(object fields, std::string_view name, double absent);
bool truth(object fields, std::string_view name);
std::string text(object fields, std::string_view name);
std::string text_or(object fields, std::string_view name, std::string_view absent);
object part(object fields, std::string_view name);

template <class Value>
Value word(object fields, std::string_view name,
           std::initializer_list<std::pair<std::string_view, Value>> words, std::string_view absent) {
  std::string given = text_or(fields, name, absent);
  for (const auto& [known, value] : words) {
    if (known == given) return value;
  }
  bad(fields, name, "has the unknown value '" + given + "'");
}

}  // namespace myrtlecroft::config
