// Messages as resources on the wire, and back.
#pragma once

#include <google/protobuf/message.h>

#include "xds/resources.h"

namespace myrtlecroft::xds {

// Equal messages have equal bytes, and so equal versions.
ResourcePtr make_resource(ResourceType type, const std::string& name,
                          const google::protobuf::Message& message, std::vector<std::string> references);

// The message inside what was serialised for the wire. False where it can't be read.
bool parse_back(const Resource& resource, google::protobuf::Message& out);

}  // namespace myrtlecroft::xds
