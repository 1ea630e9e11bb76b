// The text and JSON output of myrtlecroft-store.
#pragma once

#include <string>
#include <string_view>

#include "store/store_inspector.h"

namespace myrtlecroft::store {

// Returns `text` as a quoted JSON string; bytes other than printable ASCII are escaped as \u00XX.
std::string quote_json(std::string_view text);

// Prints a table to standard output.
void print_inspection_as_text(const StoreInspection& inspection);
// Prints one JSON object to standard output.
void print_inspection_as_json(const StoreInspection& inspection);
// Prints one JSON object on one line to standard output.
void print_record_as_json(const Record& record);

}  // namespace myrtlecroft::store
