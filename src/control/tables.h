// What the program prints of an admin answer. Called by main.cpp and release_watch.cpp. Column titles and
// words are read by operators' scripts and stay as they are.
#pragma once

#include <cstddef>
#include <string>

#include "control.pb.h"

namespace myrtlecroft::control {

// Prints the summary and the table of the query to standard output. `query` is the line that was sent,
// without its options.
void print_table(const AdminAnswer& answer, const std::string& query);

// A line of progress: "[#####.....] 52%, about 40 s left". `width` is the bar's, in characters.
std::string progress_line(const ReleaseRow& row, std::size_t width);

}  // namespace myrtlecroft::control
