#include "settings/document.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace myrtlecroft::settings {
namespace {

std::string shown(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%g", value);
  return out;
}

}  // namespace

Document::Document(const std::string& path) : path_(path), config_(std::make_unique<libconfig::Config>()) {
  try {
    config_->readFile(path.c_str());
  } catch (const libconfig::FileIOException&) {
    throw DocumentError(path + ": can't be read");
  } catch (const libconfig::ParseException& error) {
    throw DocumentError(path + ":" + std::to_string(error.getLine()) + ": " + error.getError());
  }
}

const libconfig::Setting& Part::field(const std::string& name) {
  known_.push_back(name);
  if (!has(name)) bad(name, "is missing");
  return (*fields_)[name.c_str()];
}

void Part::bad(const std::string& name, const std::string& what) const {
  unsigned line = has(name) ? (*fields_)[name.c_str()].getSourceLine() : fields_->getSourceLine();
  throw DocumentError(file_ + ":" + std::to_string(line) + ": " + path_of(name) + ": " + what);
}

bool Part::is_integer(const std::string& name) const {
  if (!has(name)) return false;
  auto type = (*fields_)[name.c_str()].getType();
  return type == libconfig::Setting::TypeInt || type == libconfig::Setting::TypeInt64;
}

std::string Part::text(const std::string& name) {
  const libconfig::Setting& value = field(name);
  if (value.getType() != libconfig::Setting::TypeString) bad(name, "is not text in quotes");
  std::string out = value.c_str();
  if (out.empty()) bad(name, "is empty");
  return out;
}

std::string Part::text_or(const std::string& name, const std::string& otherwise) {
  known_.push_back(name);
  return has(name) ? text(name) : otherwise;
}

std::int64_t Part::whole(const std::string& name, std::int64_t min, std::int64_t max) {
  const libconfig::Setting& value = field(name);
  std::int64_t out = 0;
  if (value.getType() == libconfig::Setting::TypeInt) {
    out = static_cast<int>(value);
  } else if (value.getType() == libconfig::Setting::TypeInt64) {
    out = static_cast<long long>(value);
  } else {
    bad(name, "is not a whole number");
  }
  if (out < min || out > max) {
    bad(name, "is not from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return out;
}

std::int64_t Part::integer_or(const std::string& name, std::int64_t otherwise, std::int64_t min,
                              std::int64_t max) {
  known_.push_back(name);
  return has(name) ? whole(name, min, max) : otherwise;
}

bool Part::truth_or(const std::string& name, bool otherwise) {
  if (!has(name)) return otherwise;
  const libconfig::Setting& setting = field(name);
  if (setting.getType() != libconfig::Setting::TypeBoolean) bad(name, "is not true or false");
  return setting;
}

double Part::number(const std::string& name, double min, double max) {
  const libconfig::Setting& value = field(name);
  if (!value.isNumber()) bad(name, "is not a number");
  double out = 0;
  if (value.getType() == libconfig::Setting::TypeFloat) {
    out = static_cast<double>(value);
  } else if (value.getType() == libconfig::Setting::TypeInt) {
    out = static_cast<int>(value);
  } else {
    out = static_cast<double>(static_cast<long long>(value));
  }
  if (!std::isfinite(out) || out < min || out > max) {
    bad(name, "is not from " + shown(min) + " to " + shown(max));
  }
  return out;
}

double Part::number_or(const std::string& name, double otherwise, double min, double max) {
  known_.push_back(name);
  return has(name) ? number(name, min, max) : otherwise;
}

std::optional<Part> Part::part_if(const std::string& name) {
  known_.push_back(name);
  if (!has(name)) return std::nullopt;
  const libconfig::Setting& value = field(name);
  if (!value.isGroup()) bad(name, "is not a group in braces");
  return Part(value, path_of(name), file_);
}

std::vector<Part> Part::list(const std::string& name) {
  known_.push_back(name);
  std::vector<Part> out;
  if (!has(name)) return out;
  const libconfig::Setting& value = field(name);
  if (!value.isList()) bad(name, "is not a list in parentheses");
  for (int i = 0; i < value.getLength(); ++i) {
    if (!value[i].isGroup()) bad(name, "holds something that is not a group in braces");
    out.emplace_back(value[i], path_of(name) + "[" + std::to_string(i) + "]", file_);
  }
  return out;
}

std::vector<std::string> Part::texts(const std::string& name) {
  known_.push_back(name);
  std::vector<std::string> out;
  if (!has(name)) return out;
  const libconfig::Setting& value = field(name);
  if (!value.isAggregate() || value.isGroup()) bad(name, "is not a list in parentheses");
  for (int i = 0; i < value.getLength(); ++i) {
    if (value[i].getType() != libconfig::Setting::TypeString) bad(name, "holds something that is not text");
    out.emplace_back(value[i].c_str());
  }
  return out;
}

void Part::nothing_else() const {
  for (int i = 0; i < fields_->getLength(); ++i) {
    std::string name = (*fields_)[i].getName();
    if (std::find(known_.begin(), known_.end(), name) == known_.end()) bad(name, "is not known here");
  }
}

bool split_address(std::string_view given, std::string& host, std::uint16_t& port) {
  std::size_t colon = given.rfind(':');
  if (colon == std::string_view::npos) return false;
  host = std::string(given.substr(0, colon));
  std::string_view digits = given.substr(colon + 1);
  auto [past, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  in_addr parsed{};
  return error == std::errc() && past == digits.data() + digits.size() && port != 0 &&
         inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

}  // namespace myrtlecroft::settings
