#include "settings/document.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace myrtlecroft::settings {
namespace {

std::string format_number(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%g", value);
  return out;
}

}  // namespace

Document::Document(const std::string& path) : path_(path), libconfig_(std::make_unique<libconfig::Config>()) {
  try {
    libconfig_->readFile(path.c_str());
  } catch (const libconfig::FileIOException&) {
    throw DocumentError(path + ": can't be read");
  } catch (const libconfig::ParseException& error) {
    throw DocumentError(path + ":" + std::to_string(error.getLine()) + ": " + error.getError());
  }
}

const libconfig::Setting& Section::field(const std::string& name) {
  read_names_.push_back(name);
  if (!has(name)) fail(name, "is missing");
  return (*fields_)[name.c_str()];
}

void Section::fail(const std::string& name, const std::string& what) const {
  unsigned line = has(name) ? (*fields_)[name.c_str()].getSourceLine() : fields_->getSourceLine();
  throw DocumentError(file_ + ":" + std::to_string(line) + ": " + field_path(name) + ": " + what);
}

bool Section::is_integer(const std::string& name) const {
  if (!has(name)) return false;
  auto type = (*fields_)[name.c_str()].getType();
  return type == libconfig::Setting::TypeInt || type == libconfig::Setting::TypeInt64;
}

std::string Section::text(const std::string& name) {
  const libconfig::Setting& value = field(name);
  if (value.getType() != libconfig::Setting::TypeString) fail(name, "is not text in quotes");
  std::string out = value.c_str();
  if (out.empty()) fail(name, "is empty");
  return out;
}

std::string Section::text_or(const std::string& name, const std::string& default_value) {
  read_names_.push_back(name);
  return has(name) ? text(name) : default_value;
}

std::int64_t Section::integer(const std::string& name, std::int64_t min, std::int64_t max) {
  const libconfig::Setting& value = field(name);
  std::int64_t out = 0;
  if (value.getType() == libconfig::Setting::TypeInt) {
    out = static_cast<int>(value);
  } else if (value.getType() == libconfig::Setting::TypeInt64) {
    out = static_cast<long long>(value);
  } else {
    fail(name, "is not a whole number");
  }
  if (out < min || out > max) {
    fail(name, "is not from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return out;
}

std::int64_t Section::integer_or(const std::string& name, std::int64_t default_value, std::int64_t min,
                                 std::int64_t max) {
  read_names_.push_back(name);
  return has(name) ? integer(name, min, max) : default_value;
}

bool Section::boolean_or(const std::string& name, bool default_value) {
  if (!has(name)) return default_value;
  const libconfig::Setting& setting = field(name);
  if (setting.getType() != libconfig::Setting::TypeBoolean) fail(name, "is not true or false");
  return setting;
}

double Section::number(const std::string& name, double min, double max) {
  const libconfig::Setting& value = field(name);
  if (!value.isNumber()) fail(name, "is not a number");
  double out = 0;
  if (value.getType() == libconfig::Setting::TypeFloat) {
    out = static_cast<double>(value);
  } else if (value.getType() == libconfig::Setting::TypeInt) {
    out = static_cast<int>(value);
  } else {
    out = static_cast<double>(static_cast<long long>(value));
  }
  if (!std::isfinite(out) || out < min || out > max) {
    fail(name, "is not from " + format_number(min) + " to " + format_number(max));
  }
  return out;
}

double Section::number_or(const std::string& name, double default_value, double min, double max) {
  read_names_.push_back(name);
  return has(name) ? number(name, min, max) : default_value;
}

std::optional<Section> Section::optional_section(const std::string& name) {
  read_names_.push_back(name);
  if (!has(name)) return std::nullopt;
  const libconfig::Setting& value = field(name);
  if (!value.isGroup()) fail(name, "is not a group in braces");
  return Section(value, field_path(name), file_);
}

std::vector<Section> Section::list(const std::string& name) {
  read_names_.push_back(name);
  std::vector<Section> out;
  if (!has(name)) return out;
  const libconfig::Setting& value = field(name);
  if (!value.isList()) fail(name, "is not a list in parentheses");
  for (int i = 0; i < value.getLength(); ++i) {
    if (!value[i].isGroup()) fail(name, "has an entry that is not a group in braces");
    out.emplace_back(value[i], field_path(name) + "[" + std::to_string(i) + "]", file_);
  }
  return out;
}

std::vector<std::string> Section::text_list(const std::string& name) {
  read_names_.push_back(name);
  std::vector<std::string> out;
  if (!has(name)) return out;
  const libconfig::Setting& value = field(name);
  if (!value.isAggregate() || value.isGroup()) fail(name, "is not a list in parentheses");
  for (int i = 0; i < value.getLength(); ++i) {
    if (value[i].getType() != libconfig::Setting::TypeString)
      fail(name, "has an entry that is not text in quotes");
    out.emplace_back(value[i].c_str());
  }
  return out;
}

void Section::reject_unknown_fields() const {
  for (int i = 0; i < fields_->getLength(); ++i) {
    std::string name = (*fields_)[i].getName();
    if (std::find(read_names_.begin(), read_names_.end(), name) == read_names_.end())
      fail(name, "is not known here");
  }
}

std::optional<HostAndPort> parse_address(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  HostAndPort out;
  out.host = std::string(text.substr(0, colon));
  std::string_view digits = text.substr(colon + 1);
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), out.port);
  if (error != std::errc() || end != digits.data() + digits.size() || out.port == 0) return std::nullopt;
  in_addr unused_address{};
  if (inet_pton(AF_INET, out.host.c_str(), &unused_address) != 1) return std::nullopt;
  return out;
}

}  // namespace myrtlecroft::settings
