// What the program prints of an answer.
#pragma once

#include <string>

#include "control.pb.h"

namespace myrtlecroft::control {

void print_table(const AdminAnswer& answer, const std::string& question);
// A line of progress: "[#####.....] 52%, about 40 s left".
std::string progress(const ReleaseRow& row, std::size_t width);

// Which rows a long answer has, and how the others are seen.
std::string page_line(const AdminAnswer& answer);

}  // namespace myrtlecroft::control
