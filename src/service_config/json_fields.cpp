#include "service_config/json_fields.h"

#include <cmath>

namespace myrtlecroft::config {

const char* mark_of(object fields) {
  return fields.begin() == fields.end() ? nullptr : fields.begin().key().data();
}

FieldError::FieldError(object in, std::string_view name, const std::string& what)
    : std::runtime_error("field '" + std::string(name) + "' " + what),
      field(name),
      fault(what),
      object_mark(mark_of(in)) {}

void fail(object in, std::string_view field, const std::string& what) { throw FieldError(in, field, what); }

std::optional<element> find(object fields, std::string_view name) {
  element value;
  if (fields[name].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
  return value;
}

namespace {

std::int64_t integer(object in, std::string_view name, element value) {
  std::int64_t number = 0;
  if (value.get(number) == simdjson::SUCCESS) return number;
  std::uint64_t large = 0;
  if (value.get(large) == simdjson::SUCCESS) return static_cast<std::int64_t>(large);
  double real = 0;
  if (value.get(real) == simdjson::SUCCESS && real == std::floor(real) && std::fabs(real) < 9e18) {
    return static_cast<std::int64_t>(real);
  }
  fail(in, name, "is not a whole number");
}

}  // namespace

std::int64_t integer(object fields, std::string_view name) {
  std::optional<element> value = find(fields, name);
  if (!value) fail(fields, name, "is missing");
  return integer(fields, name, *value);
}

std::int64_t integer_or(object fields, std::string_view name, std::int64_t absent) {
  std::optional<element> value = find(fields, name);
  return value ? integer(fields, name, *value) : absent;
}

double number(object in, std::string_view name, element value) {
  double real = 0;
  if (value.get(real) != simdjson::SUCCESS) fail(in, name, "is not a number");
  return real;
}

double number(object fields, std::string_view name) {
  std::optional<element> value = find(fields, name);
  if (!value) fail(fields, name, "is missing");
  return number(fields, name, *value);
}

double number_or(object fields, std::string_view name, double absent) {
  std::optional<element> value = find(fields, name);
  return value ? number(fields, name, *value) : absent;
}

bool boolean(object fields, std::string_view name) {
  std::optional<element> value = find(fields, name);
  if (!value) return false;
  bool out = false;
  if (value->get(out) != simdjson::SUCCESS) fail(fields, name, "is not true or false");
  return out;
}

std::string text_or(object fields, std::string_view name, std::string_view absent) {
  std::optional<element> value = find(fields, name);
  if (!value) return std::string(absent);
  std::string_view text;
  if (value->get(text) != simdjson::SUCCESS) fail(fields, name, "is not a text");
  return std::string(text);
}

std::string text(object fields, std::string_view name) {
  std::optional<element> value = find(fields, name);
  if (!value) fail(fields, name, "is missing");
  return text_or(fields, name, "");
}

object object_field(object fields, std::string_view name) {
  object inner;
  if (fields[name].get(inner) != simdjson::SUCCESS) fail(fields, name, "is missing or not an object");
  return inner;
}

}  // namespace myrtlecroft::config
