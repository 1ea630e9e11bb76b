#include "control/release_watch.h"

#include <curses.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <string>

#include "control/tables.h"

namespace myrtlecroft::control {
namespace {

constexpr int kEveryMs = 500;

// The terminal is as it was again, whatever happens.
class Screen {
 public:
  Screen() {
    if (!::isatty(STDOUT_FILENO) || !::initscr()) throw std::runtime_error("--watch needs a terminal");
    ::cbreak();
    ::noecho();
    ::curs_set(0);
    ::timeout(kEveryMs);
  }
  Screen(const Screen&) = delete;
  Screen& operator=(const Screen&) = delete;
  ~Screen() { ::endwin(); }
  void line(int row, const std::string& text) { mvaddnstr(row, 0, text.c_str(), COLS); }
};

bool is_over(const AdminAnswer& answer) {
  return !answer.has_release() || answer.release().phase() == "done" ||
         answer.release().phase() == "taken back";
}

std::string amount(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%8.2f", value);
  return out;
}

void draw(Screen& screen, const AdminAnswer& answer) {
  ::erase();
  const ReleaseRow& row = answer.release();
  int at = 0;
  screen.line(at++, "release " + std::to_string(row.id()) + " '" + row.name() + "': " + row.phase() +
                        ", wave " + std::to_string(row.wave()) + " of " + std::to_string(row.waves()) + ", " +
                        std::to_string(row.nodes_with()) + " of " + std::to_string(row.nodes()) + " nodes" +
                        (answer.in_touch() ? "" : "  OUT OF TOUCH with a majority"));
  screen.line(at++, progress(row, static_cast<std::size_t>(std::max(10, COLS - 40))));
  if (!row.reason().empty()) screen.line(at++, "why: " + row.reason());
  if (!row.outlook().empty()) screen.line(at++, "now: " + row.outlook());
  for (const std::string& failed : row.failed()) screen.line(at++, "failed: " + failed);
  ++at;
  for (const BudgetRow& budget : answer.budgets()) {
    if (budget.out() <= 0 || at >= LINES - 2) continue;
    screen.line(at++, amount(budget.out()) + " of " + amount(budget.most()) + " out of " + budget.name());
  }
  ++at;
  for (const MaintenanceLeaseRow& trip : answer.trips()) {
    if (at >= LINES - 1) break;
    screen.line(at++, trip.node() + ": " + trip.why() + ", " + trip.place() + " for " +
                          std::to_string(static_cast<int>(trip.in_place_s())) + " s");
  }
  screen.line(LINES - 1, "q: leave; the release goes on");
  ::refresh();
}

}  // namespace

void watch_release(const std::function<AdminAnswer()>& ask) {
  AdminAnswer last;
  {
    Screen screen;
    do {
      last = ask();
      draw(screen, last);
    } while (!is_over(last) && ::getch() != 'q');
  }
  print_table(last, "release status");
}

}  // namespace myrtlecroft::control
