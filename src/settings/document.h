// Reads libconfig documents (settings, the fleet file, release plans) and checks their fields. Called by the
// readers of each kind of file, at start and at a reload, on the thread that reads. A Document owns the
// parsed file; sections refer to it and live no longer.
#pragma once

#include <cstdint>
#include <libconfig.h++>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::settings {

// A file that can't be used; what() is one line: "FILE:LINE: FIELD: what is wrong".
struct DocumentError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A group of fields. Each field is read through it, so that unknown fields can be rejected. All readers throw
// DocumentError for a field of another kind or out of its bounds (both ends included); those without a
// default also for a missing field.
class Section {
 public:
  Section(const libconfig::Setting& fields, std::string path, std::string file)
      : fields_(&fields), path_(std::move(path)), file_(std::move(file)) {}

  bool has(const std::string& name) const { return fields_->exists(name.c_str()); }
  // Whether the field is there and written without a decimal point.
  bool is_integer(const std::string& name) const;
  std::string text(const std::string& name);
  std::string text_or(const std::string& name, const std::string& default_value);
  std::int64_t integer(const std::string& name, std::int64_t min, std::int64_t max);
  std::int64_t integer_or(const std::string& name, std::int64_t default_value, std::int64_t min,
                          std::int64_t max);
  double number(const std::string& name, double min, double max);
  double number_or(const std::string& name, double default_value, double min, double max);
  bool boolean_or(const std::string& name, bool default_value);
  // A field in integer milliseconds, as a time in nanoseconds; the bounds are milliseconds.
  Nanos milliseconds(const std::string& name, std::int64_t min, std::int64_t max) {
    return integer(name, min, max) * kMs;
  }
  Nanos milliseconds_or(const std::string& name, Nanos default_value, std::int64_t min, std::int64_t max) {
    return has(name) ? milliseconds(name, min, max) : default_value;
  }
  std::optional<Section> optional_section(const std::string& name);
  // A list of groups; empty where the field is left out.
  std::vector<Section> list(const std::string& name);
  // A list of strings; empty where the field is left out.
  std::vector<std::string> text_list(const std::string& name);
  // Throws DocumentError for a field that was not read: a misspelt field must not pass for a default.
  void reject_unknown_fields() const;
  // Throws DocumentError with the line of the field, or of the group where the field is missing.
  [[noreturn]] void fail(const std::string& name, const std::string& what) const;

 private:
  const libconfig::Setting& field(const std::string& name);
  std::string path_of(const std::string& name) const { return path_.empty() ? name : path_ + "." + name; }

  const libconfig::Setting* fields_;
  std::string path_;
  std::string file_;
  std::vector<std::string> known_;
};

class Document {
 public:
  // Throws DocumentError where the file can't be read or is no libconfig document.
  explicit Document(const std::string& path);
  Section root() const { return Section(config_->getRoot(), "", path_); }

 private:
  std::string path_;
  std::unique_ptr<libconfig::Config> config_;
};

struct HostAndPort {
  std::string host;  // an IPv4 address
  std::uint16_t port = 0;
};
// Reads "127.0.0.1:4100". No value: it isn't an IPv4 address and a port above 0.
std::optional<HostAndPort> parse_address(std::string_view text);

}  // namespace myrtlecroft::settings
