#include "arguments.h"

#include <string_view>

namespace myrtlecroft {
namespace {

constexpr struct {
  std::string_view option;
  Action action;
} kOptions[] = {
    {"--help", Action::kHelp},
    {"-h", Action::kHelp},
    {"--version", Action::kVersion},
    {"--check", Action::kCheck},
};

Action parse_option(std::string_view option) {
  for (const auto& entry : kOptions) {
    if (entry.option == option) return entry.action;
  }
  return Action::kUnknown;
}

}  // namespace

Arguments parse_arguments(int argc, const char* const* argv) {
  if (argc <= 1) return {};
  Action action = parse_option(argv[1]);
  if (action == Action::kUnknown) return {Action::kUnknown, argv[1]};
  if (argc > 2) return {Action::kUnknown, argv[2]};
  return {action, ""};
}

const char* help_text() {
  return "myrtlecroft: an overload controller and the server that runs it\n"
         "\n"
         "Usage: myrtlecroft [OPTION]\n"
         "\n"
         "Without an option, the server runs in the foreground until SIGTERM.\n"
         "\n"
         "  -h, --help     prints this text\n"
         "  --version      prints the version\n"
         "  --check        reads the two files below, reports each error with file, line and field, "
         "and exits\n"
         "\n"
         "Environment:\n"
         "  LB_CONFIG             JSON: name, addresses, seed, limits, settings of the deployment\n"
         "  MYRTLECROFT_SETTINGS  libconfig: the server's own settings; optional\n"
         "\n"
         "Exit codes: 0 success, 1 the server can't start, 2 an unknown option or an invalid file found "
         "by --check\n";
}

}  // namespace myrtlecroft
