// The settings that a server is given at its start, as ServiceTerms. Both adapters read them here.
#pragma once

#include <string>
#include <vector>

#include "myrtlecroft/terms.h"
#include "terms/fields.h"

namespace myrtlecroft::terms {

ServiceTerms read_terms(object env);  // throws FieldError
// What the gauges are called, in the order in which an engine lists them.
std::vector<std::string> read_gauge_names(object env);

}  // namespace myrtlecroft::terms
