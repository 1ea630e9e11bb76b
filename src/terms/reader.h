// The settings that a server is given at its start, as ServiceConfig. Both adapters read them here.
#pragma once

#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"
#include "terms/fields.h"

namespace myrtlecroft::config {

ServiceConfig read_config(object env);  // throws FieldError
// What the gauges are called, in the order in which an engine lists them.
std::vector<std::string> read_gauge_names(object env);

}  // namespace myrtlecroft::config
