// Compiled only by tests/conversions_test.sh. With ELEMENT_FOR_OBJECT defined it contains a call that must
// not compile.
#include "service_config/json_fields.h"

namespace myrtlecroft::config {

double read_core_use(object values, element value) {
#ifdef ELEMENT_FOR_OBJECT
  return number(value, "core_use");
#else
  return number(values, "core_use", value);
#endif
}

}  // namespace myrtlecroft::config
