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

constexpr int kUsageError = 2;  // exit code: an unknown option, or a file that --check finds wrong

// The version that whoever starts us says that we are. Throws std::runtime_error.
std::uint8_t own_version() {
  const char* given = std::getenv("MYRTLECROFT_RELEASE");
  if (!given || !*given) return 0;
  int version = 0;
  const char* end = given + std::strlen(given);
  auto [past, error] = std::from_chars(given, end, version);
  if (error != std::errc() || past != end || version < 0 || version > myrtlecroft::fencing::kMaxVersion)
    throw std::runtime_error(std::string("MYRTLECROFT_RELEASE is no number from 0 to 99: '") + given + "'");
  return static_cast<std::uint8_t>(version);
}

void mask_signals(int how) {
  sigset_t all;
  sigemptyset(&all);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&all, signal);
  pthread_sigmask(how, &all, nullptr);
}

// Says of each file whether it is good; 2 where one is not.
int check(const char* path, const char* settings_path) {
  int code = 0;
  auto look = [&](const char* file, auto read) {
    try {
      read(file);
      if (file && *file) std::printf("%s: good\n", file);
    } catch (const std::exception& error) {
      std::fprintf(stderr, "myrtlecroft: %s\n", error.what());
      code = kUsageError;
    }
  };
  look(path, [](const char* file) { myrtlecroft::read_launch(file); });
  look(settings_path, [](const char* file) { myrtlecroft::settings::read_node_settings(file); });
  return code;
}

int start(const char* path, const char* settings_path) {
  std::signal(SIGPIPE, SIG_IGN);
  mask_signals(SIG_BLOCK);  // until they are handled: a signal before then waits
  try {
    myrtlecroft::Launch launch = myrtlecroft::read_launch(path);
    myrtlecroft::ServerProgram program({.config = path, .settings = settings_path}, std::move(launch),
                                       own_version());
    mask_signals(SIG_UNBLOCK);
    return program.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "myrtlecroft: %s\n", error.what());
    return 1;
  }
}

}  // namespace

int main(int count, char** words) {
  using namespace myrtlecroft;
  Arguments arguments = read_arguments(count, words);
  const char* path = std::getenv("LB_CONFIG");
  const char* settings_path = std::getenv("MYRTLECROFT_SETTINGS");
  switch (arguments.asked) {
    case Asked::kHelp:
      std::fputs(help_text(), stdout);
      return 0;
    case Asked::kVersion:
      std::puts("myrtlecroft " MYRTLECROFT_VERSION);
      return 0;
    case Asked::kCheck:
      return check(path, settings_path);
    case Asked::kUnknown:
      std::fprintf(stderr, "myrtlecroft: not known here: %s; --help lists the options\n",
                   arguments.unknown.c_str());
      return kUsageError;
    case Asked::kServe:
      break;
  }
  return start(path, settings_path);
}
