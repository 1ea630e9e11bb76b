// The text and JSON that myrtlecroft-store prints. Called by the tool's main; owns nothing.
#pragma once

#include <string>
#include <string_view>

#include "store/store_inspector.h"

namespace myrtlecroft::store {

// As a JSON string; a byte that is not printable ASCII becomes \u00XX.
std::string json_text(std::string_view text);

// Print to standard output: a table for people, or one JSON object.
void print_inspection_as_text(const StoreInspection& inspection);
void print_inspection_as_json(const StoreInspection& inspection);
// One JSON object on a line.
void print_record_as_json(const Record& record);

}  // namespace myrtlecroft::store
