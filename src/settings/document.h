// Our own files: libconfig documents, read with checks. Each error names file, line and field.
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

// What is wrong with a file, as one line: "FILE:LINE: FIELD: what is wrong".
struct DocumentError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A group of fields. Every field is read through it, so that those it does not know are found.
class Part {
 public:
  Part(const libconfig::Setting& fields, std::string path, std::string file)
      : fields_(&fields), path_(std::move(path)), file_(std::move(file)) {}

  bool has(const std::string& name) const { return fields_->exists(name.c_str()); }
  bool is_integer(const std::string& name) const;  // written without a point
  std::string text(const std::string& name);
  std::string text_or(const std::string& name, const std::string& otherwise);
  std::int64_t whole(const std::string& name, std::int64_t min, std::int64_t max);
  std::int64_t integer_or(const std::string& name, std::int64_t otherwise, std::int64_t min,
                          std::int64_t max);
  double number(const std::string& name, double min, double max);
  double number_or(const std::string& name, double otherwise, double min, double max);
  bool truth_or(const std::string& name, bool otherwise);
  // A field in whole milliseconds, as a time.
  Nanos millis(const std::string& name, std::int64_t min, std::int64_t max) {
    return whole(name, min, max) * kMs;
  }
  Nanos millis_or(const std::string& name, Nanos otherwise, std::int64_t min, std::int64_t max) {
    return has(name) ? millis(name, min, max) : otherwise;
  }
  std::optional<Part> part_if(const std::string& name);
  // A list of groups; empty where the field is left out.
  std::vector<Part> list(const std::string& name);
  // A list of texts; empty where the field is left out.
  std::vector<std::string> texts(const std::string& name);
  // Throws where a field stands here that nobody asked for: a slip of the pen must not pass for a default.
  void nothing_else() const;
  // Throws, with the line of the field, or of the group where it is missing.
  [[noreturn]] void bad(const std::string& name, const std::string& what) const;

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
  Part root() const { return Part(config_->getRoot(), "", path_); }

 private:
  std::string path_;
  std::unique_ptr<libconfig::Config> config_;
};

// "127.0.0.1:4100" in parts. False where it is no such thing.
bool split_address(std::string_view given, std::string& host, std::uint16_t& port);

}  // namespace myrtlecroft::settings
