// Stands in for node_settings.cpp in builds without libconfig: there are only the defaults.
#include <stdexcept>

#include "settings/node_settings.h"

namespace myrtlecroft::settings {

NodeSettings read_node_settings(const char* path) {
  if (path && *path)
    throw std::runtime_error(std::string(path) + ": this build reads no settings of its own");
  return {};
}

}  // namespace myrtlecroft::settings
