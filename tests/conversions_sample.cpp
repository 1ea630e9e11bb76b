// Compiled by tests/conversions_test.sh alone. With ELEMENT_FOR_OBJECT it holds a line that must not compile.
#include "service_config/json_fields.h"

namespace myrtlecroft::config {

double reading(object values, element value) {
#ifdef ELEMENT_FOR_OBJECT
  return number(value, "core_use");
#else
  return number(values, "core_use", value);
#endif
}

}  // namespace myrtlecroft::config
