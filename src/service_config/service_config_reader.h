// Reads the settings that a server gets at its start into a ServiceConfig. Called by the server program and
// the wire host, on the thread that starts a server.
#pragma once

#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"
#include "service_config/json_fields.h"

namespace myrtlecroft::config {

// Reads the settings of a deployment. Throws FieldError for a missing or invalid field.
ServiceConfig read_service_config(object settings);
// Returns the names of the engine's gauges, in the order in which an engine lists their values. Throws
// FieldError.
std::vector<std::string> read_gauge_names(object settings);

}  // namespace myrtlecroft::config
