// Parses the server's command line. It has few options and uses no library, because the platform's build has
// no package for command line parsing.
#pragma once

#include <string>

namespace myrtlecroft {

// What the command line tells the program to do.
enum class Action { kServe, kHelp, kVersion, kCheck, kUnknown };

struct Arguments {
  Action action = Action::kServe;
  std::string unknown_argument;  // the unknown option or the extra argument; set with kUnknown
};

// Without an argument the action is kServe.
Arguments parse_arguments(int argc, const char* const* argv);

// The text that --help prints.
const char* help_text();

}  // namespace myrtlecroft
