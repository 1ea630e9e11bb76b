// Reads libconfig documents (settings, the fleet file, release plans) and validates their fields. Called by
// the readers of each kind of file, at start and at a reload, on the reader's thread. A Document owns the
// parsed file and must outlive its sections.
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

// An unreadable or invalid file; what() is one line: "FILE:LINE: FIELD: ERROR", without the field for a
// syntax error, and without the line too for a file that can't be read.
struct DocumentError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A group of fields. It records which fields were read, so that unknown fields can be rejected. All functions
// that read a field throw DocumentError for a field of another type or out of its bounds (both inclusive);
// those without a default value also for a missing field.
class Section {
 public:
  Section(const libconfig::Setting& fields, std::string path, std::string file)
      : fields_(&fields), path_(std::move(path)), file_(std::move(file)) {}

  bool has(const std::string& name) const { return fields_->exists(name.c_str()); }
  // True if the field exists and is written without a decimal point.
  bool is_integer(const std::string& name) const;
  // Rejects an empty string.
  std::string text(const std::string& name);
  std::string text_or(const std::string& name, const std::string& default_value);
  std::int64_t integer(const std::string& name, std::int64_t min, std::int64_t max);
  std::int64_t integer_or(const std::string& name, std::int64_t default_value, std::int64_t min,
                          std::int64_t max);
  double number(const std::string& name, double min, double max);
  double number_or(const std::string& name, double default_value, double min, double max);
  bool boolean_or(const std::string& name, bool default_value);
  // Reads an integer number of milliseconds and returns it in nanoseconds. The bounds are in milliseconds,
  // the default value in nanoseconds.
  Nanos milliseconds(const std::string& name, std::int64_t min, std::int64_t max) {
    return integer(name, min, max) * kMs;
  }
  Nanos milliseconds_or(const std::string& name, Nanos default_value, std::int64_t min, std::int64_t max) {
    return has(name) ? milliseconds(name, min, max) : default_value;
  }
  // Returns no value if the group is missing.
  std::optional<Section> optional_section(const std::string& name);
  // Reads a list of groups; empty if the field is missing.
  std::vector<Section> list(const std::string& name);
  // Reads a list of strings; empty if the field is missing.
  std::vector<std::string> text_list(const std::string& name);
  // Throws DocumentError if the group has a field that was not read, because a misspelt field would otherwise
  // be ignored and its default value used.
  void reject_unknown_fields() const;
  // Throws DocumentError with the line of the field, or of the group if the field is missing.
  [[noreturn]] void fail(const std::string& name, const std::string& what) const;

 private:
  const libconfig::Setting& field(const std::string& name);
  std::string field_path(const std::string& name) const { return path_.empty() ? name : path_ + "." + name; }

  const libconfig::Setting* fields_;
  std::string path_;
  std::string file_;
  std::vector<std::string> read_names_;
};

// A parsed libconfig file.
class Document {
 public:
  // Throws DocumentError if the file can't be read or is not a libconfig document.
  explicit Document(const std::string& path);
  Section root() const { return Section(libconfig_->getRoot(), "", path_); }

 private:
  std::string path_;
  std::unique_ptr<libconfig::Config> libconfig_;
};

struct HostAndPort {
  std::string host;  // an IPv4 address
  std::uint16_t port = 0;
};
// Parses an address such as "127.0.0.1:4100". Returns no value unless the text is an IPv4 address and a port
// above 0.
std::optional<HostAndPort> parse_address(std::string_view text);

}  // namespace myrtlecroft::settings
