#include "service_config/json_fields.h"

#include <cmath>

namespace myrtlecroft::config {

const char* first_key_address(object fields) {
  return fields.begin() == fields.end() ? nullptr : fields.begin().key().data();
}

FieldError::FieldError(object parent, std::string_view name, const std::string& what)
    : std::runtime_error("field '" + std::string(name) + "' " + what),
      field(name),
      message(what),
      object_key_address(first_key_address(parent)) {}

void fail(object parent, std::string_view field, const std::string& what) {
  throw FieldError(parent, field, what);
}

std::optional<element> find(object fields, std::string_view name) {
  element value;
  if (fields[name].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
  return value;
}

namespace {

std::int64_t integer(object parent, std::string_view name, element value) {
  std::int64_t number = 0;
  if (value.get(number) == simdjson::SUCCESS) return number;
  std::uint64_t large = 0;
  if (value.get(large) == simdjson::SUCCESS) return static_cast<std::int64_t>(large);
  double floating = 0;
  if (value.get(floating) == simdjson::SUCCESS && floating == std::floor(floating) &&
      std::fabs(floating) < 9e18) {
    return static_cast<std::int64_t>(floating);
  }
  fail(parent, name, "is not a whole number");
}

}  // namespace

std::int64_t integer(object fields, std::string_view name) {
  std::optional<element> value = find(fields, name);
  if (!value) fail(fields, name, "is missing");
  return integer(fields, name, *value);
}

std::int64_t integer_or(object fields, std::string_view name, std::int64_t default_value) {
  std::optional<element> value = find(fields, name);
  return value ? integer(fields, name, *value) : default_value;
}

double number(object parent, std::string_view name, element value) {
  double floating = 0;
  if (value.get(floating) != simdjson::SUCCESS) fail(parent, name, "is not a number");
  return floating;
}

double number(object fields, std::string_view name) {
  std::optional<element> value = find(fields, name);
  if (!value) fail(fields, name, "is missing");
  return number(fields, name, *value);
}

double number_or(object fields, std::string_view name, double default_value) {
  std::optional<element> value = find(fields, name);
  return value ? number(fields, name, *value) : default_value;
}

bool boolean(object fields, std::string_view name) {
  std::optional<element> value = find(fields, name);
  if (!value) return false;
  bool out = false;
  if (value->get(out) != simdjson::SUCCESS) fail(fields, name, "is not true or false");
  return out;
}

std::string text_or(object fields, std::string_view name, std::string_view default_value) {
  std::optional<element> value = find(fields, name);
  if (!value) return std::string(default_value);
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
