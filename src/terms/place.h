// Where in a JSON file a field stands that makes no sense, for messages to operators. Nothing of it runs
// while files are good.
#pragma once

#include <string>

#include "terms/fields.h"

namespace myrtlecroft::config {

// "LINE: PATH: what is wrong" of a field error: the line of the field, or of the object that lacks it. `root`
// is the document that was read out of `text`.
std::string placed(const FieldError& error, element root, const simdjson::padded_string& text);

// "LINE: what is wrong" of a text that is no JSON: the line where it stops to be.
std::string placed(simdjson::error_code error, const simdjson::padded_string& text);

}  // namespace myrtlecroft::config
