// Reads the settings that a server is given at its start into a ServiceConfig. Called by the server program
// and the wire host, on the thread that starts a server. Owns nothing.
#pragma once

#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"
#include "service_config/json_fields.h"

namespace myrtlecroft::config {

// Throws FieldError.
ServiceConfig read_service_config(object env);
// The names of the gauges, in the order in which an engine lists them. Throws FieldError.
std::vector<std::string> read_gauge_names(object env);

}  // namespace myrtlecroft::config
