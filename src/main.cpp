// The server's program: command line, signals and exit codes.
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <stdexcept>
#include <string>

#include "arguments.h"
#include "fencing/fencing_guard.h"
#include "launch.h"
#include "server_program.h"
#include "settings/node_settings.h"

namespace {

constexpr int kUsageError = 2;  // exit code: an unknown option, or an invalid file found by --check

// Reads the version of this program that the supervisor passes in MYRTLECROFT_RELEASE; 0 if it is not set.
// Throws std::runtime_error if it is not a number from 0 to 99.
std::uint8_t read_release_version() {
  const char* release = std::getenv("MYRTLECROFT_RELEASE");
  if (!release || !*release) return 0;
  int version = 0;
  const char* end = release + std::strlen(release);
  auto [parsed_end, error] = std::from_chars(release, end, version);
  if (error != std::errc() || parsed_end != end || version < 0 || version > myrtlecroft::fencing::kMaxVersion)
    throw std::runtime_error(std::string("MYRTLECROFT_RELEASE is not a number from 0 to 99: '") + release +
                             "'");
  return static_cast<std::uint8_t>(version);
}

// Blocks or unblocks, by `how`, the signals that the server program handles.
void mask_signals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  pthread_sigmask(how, &signals, nullptr);
}

// Prints for each file whether it is valid. Returns the exit code: kUsageError if any file is invalid.
int check(const char* path, const char* settings_path) {
  int code = 0;
  auto check_file = [&](const char* file, auto read) {
    try {
      read(file);
      if (file && *file) std::printf("%s: good\n", file);
    } catch (const std::exception& error) {
      std::fprintf(stderr, "myrtlecroft: %s\n", error.what());
      code = kUsageError;
    }
  };
  check_file(path, [](const char* file) { myrtlecroft::read_launch_config(file); });
  check_file(settings_path, [](const char* file) { myrtlecroft::settings::read_node_settings(file); });
  return code;
}

int start(const char* path, const char* settings_path) {
  std::signal(SIGPIPE, SIG_IGN);
  mask_signals(SIG_BLOCK);  // a signal that arrives before the handlers exist stays pending
  try {
    myrtlecroft::LaunchConfig launch = myrtlecroft::read_launch_config(path);
    myrtlecroft::ServerProgram program({.config = path, .settings = settings_path}, std::move(launch),
                                       read_release_version());
    mask_signals(SIG_UNBLOCK);
    return program.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "myrtlecroft: %s\n", error.what());
    return 1;
  }
}

}  // namespace

int main(int argc, char** argv) {
  using namespace myrtlecroft;
  Arguments arguments = parse_arguments(argc, argv);
  const char* path = std::getenv("LB_CONFIG");
  const char* settings_path = std::getenv("MYRTLECROFT_SETTINGS");
  switch (arguments.action) {
    case Action::kHelp:
      std::fputs(help_text(), stdout);
      return 0;
    case Action::kVersion:
      std::puts("myrtlecroft " MYRTLECROFT_VERSION);
      return 0;
    case Action::kCheck:
      return check(path, settings_path);
    case Action::kUnknown:
      std::fprintf(stderr, "myrtlecroft: unknown option or extra argument: %s; --help lists the options\n",
                   arguments.unknown_argument.c_str());
      return kUsageError;
    case Action::kServe:
      break;
  }
  return start(path, settings_path);
}
