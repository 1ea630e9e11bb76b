// Finds the line and path of a faulty field in a JSON file, for messages to operators. Called only after a
// reader has failed, on its thread. Owns nothing.
#pragma once

#include <string>

#include "service_config/json_fields.h"

namespace myrtlecroft::config {

// "LINE: PATH: what is wrong" of a field error: the line of the field, or of the object that lacks it. `root`
// is the document that was read out of `text`.
std::string format_with_location(const FieldError& error, element root, const simdjson::padded_string& text);

// "LINE: what is wrong" of a text that is not JSON: the line of the first fault.
std::string format_with_location(simdjson::error_code error, const simdjson::padded_string& text);

}  // namespace myrtlecroft::config
