// Finds the line and path of an invalid field in a JSON file, for messages to operators. Called only after a
// reader has failed, on the reader's thread.
#pragma once

#include <string>

#include "service_config/json_fields.h"

namespace myrtlecroft::config {

// Formats a field error as "LINE: PATH: ERROR", with the line of the field, or of the object in which the
// field is missing; as " PATH: ERROR" or " ERROR" if the place is not found. `root` is the document parsed
// from `text`.
std::string format_with_location(const FieldError& error, element root, const simdjson::padded_string& text);

// Formats the error of a text that is not JSON as "LINE: ERROR", with the line of the first error, or as
// " ERROR" if no line is known.
std::string format_with_location(simdjson::error_code error, const simdjson::padded_string& text);

}  // namespace myrtlecroft::config
