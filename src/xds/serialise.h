// Serialises messages into xDS resources, and parses them back.
#pragma once

#include <google/protobuf/message.h>

#include "xds/resources.h"

namespace myrtlecroft::xds {

// Serialises deterministically: equal messages have equal bytes, and so equal versions.
ResourcePtr make_resource(ResourceType type, const std::string& name,
                          const google::protobuf::Message& message, std::vector<std::string> references);

// Parses the message from its serialised resource. Returns false if it can't be parsed.
bool parse_encoded(const Resource& resource, google::protobuf::Message& out);

}  // namespace myrtlecroft::xds
