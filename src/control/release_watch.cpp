#include "control/release_watch.h"

#include <curses.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <stdexcept>
#include <string>

#include "control/tables.h"

namespace myrtlecroft::control {
namespace {

constexpr int kRefreshMs = 500;
constexpr int kMinProgressWidth = 10;   // characters
constexpr int kProgressTextWidth = 40;  // characters after the bar

// Thrown if standard output is not a terminal.
class NoTerminalError final : public std::runtime_error {
 public:
  NoTerminalError() : std::runtime_error("--watch needs a terminal") {}
};

// Takes over the terminal with curses; restores it on destruction.
class Screen {
 public:
  Screen() {
    if (!::isatty(STDOUT_FILENO) || !::initscr()) throw NoTerminalError();
    ::cbreak();
    ::noecho();
    ::curs_set(0);
    ::timeout(kRefreshMs);
  }
  Screen(const Screen&) = delete;
  Screen& operator=(const Screen&) = delete;
  ~Screen() { ::endwin(); }
  // Writes the next line from the top, cut to the terminal's width.
  void add_line(const std::string& text) {
    mvaddnstr(next_row_, 0, text.c_str(), COLS);
    ++next_row_;
  }
  void add_empty_line() { ++next_row_; }
  void write_bottom_line(const std::string& text) { mvaddnstr(LINES - 1, 0, text.c_str(), COLS); }
  int lines_left() const { return LINES - 1 - next_row_; }  // above the bottom line
  void clear() {
    ::erase();
    next_row_ = 0;
  }

 private:
  int next_row_ = 0;
};

bool is_finished(const AdminAnswer& answer) {
  return !answer.has_release() || answer.release().phase() == "done" ||
         answer.release().phase() == "taken back";
}

std::string format_capacity(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%8.2f", value);
  return out;
}

std::string headline(const AdminAnswer& answer) {
  const ReleaseRow& row = answer.release();
  return "release " + std::to_string(row.id()) + " '" + row.name() + "': " + row.phase() + ", wave " +
         std::to_string(row.wave()) + " of " + std::to_string(row.waves()) + ", " +
         std::to_string(row.nodes_with()) + " of " + std::to_string(row.nodes()) + " nodes" +
         (answer.in_touch() ? "" : "  OUT OF TOUCH with a majority");
}

void draw(Screen& screen, const AdminAnswer& answer) {
  screen.clear();
  const ReleaseRow& row = answer.release();
  screen.add_line(headline(answer));
  int width = std::max(kMinProgressWidth, COLS - kProgressTextWidth);
  screen.add_line(progress_line(row, static_cast<std::size_t>(width)));
  if (!row.reason().empty()) screen.add_line("why: " + row.reason());
  if (!row.outlook().empty()) screen.add_line("now: " + row.outlook());
  for (const std::string& failed : row.failed()) screen.add_line("failed: " + failed);
  screen.add_empty_line();
  for (const BudgetRow& budget : answer.budgets()) {
    if (budget.out() <= 0 || screen.lines_left() <= 1) continue;
    screen.add_line(format_capacity(budget.out()) + " of " + format_capacity(budget.most()) + " out of " +
                    budget.name());
  }
  screen.add_empty_line();
  for (const MaintenanceLeaseRow& lease : answer.trips()) {
    if (screen.lines_left() <= 0) break;
    screen.add_line(lease.node() + ": " + lease.why() + ", " + lease.place() + " for " +
                    std::to_string(static_cast<int>(lease.in_place_s())) + " s");
  }
  screen.write_bottom_line("q: quit; the release continues");
  ::refresh();
}

}  // namespace

void watch_release(const std::function<AdminAnswer()>& poll_status) {
  AdminAnswer last;
  {
    Screen screen;
    do {
      last = poll_status();
      draw(screen, last);
    } while (!is_finished(last) && ::getch() != 'q');
  }
  print_table(last, "release status");
}

}  // namespace myrtlecroft::control
