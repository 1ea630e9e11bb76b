// Replaces node_settings.cpp in builds without libconfig, which have only the defaults.
#include <stdexcept>

#include "settings/node_settings.h"

namespace myrtlecroft::settings {

NodeSettings read_node_settings(const char* path) {
  if (path && *path)
    throw std::runtime_error(
        std::string(path) +
        ": this build can't read a settings file, because it was built without libconfig");
  return {};
}

}  // namespace myrtlecroft::settings
