// Requests and responses as xDS v3 has them on the wire. No I/O.
#pragma once

#include "xds/session.h"

namespace myrtlecroft::xds {

struct ParsedRequest {
  std::string node;  // empty where the request does not name it
  std::string zone;
  std::optional<Request> request;  // none where the type is not served
};

// False where the bytes are no such message.
bool read_request(ProtocolVariant variant, const void* bytes, std::size_t size, ParsedRequest& out);

// All of a response but its resources, which are serialised already and go after it as they are.
std::string encode_response_header(const Response& response, ProtocolVariant variant);
// A resource as a field of such a response.
inline const std::string& encoded_resource(const Resource& resource, ProtocolVariant variant) {
  return variant == ProtocolVariant::kDelta ? resource.delta_encoding : resource.sotw_encoding;
}

}  // namespace myrtlecroft::xds
