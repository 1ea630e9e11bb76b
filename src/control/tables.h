// Prints admin answers as tables. Called by main.cpp and release_watch.cpp. Operators' scripts read the
// column titles and the words in the rows, so they stay unchanged.
#pragma once

#include <cstddef>
#include <string>

#include "control.pb.h"

namespace myrtlecroft::control {

// Prints the summary and the table of the query to standard output. `query` is the query line without its
// options.
void print_table(const AdminAnswer& answer, const std::string& query);

// Formats a progress bar: "[#####.....] 52%, about 40 s left". `width` is the width of the bar in characters.
std::string progress_line(const ReleaseRow& row, std::size_t width);

}  // namespace myrtlecroft::control
