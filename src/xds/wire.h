// Parses xDS v3 requests and encodes responses. No I/O.
#pragma once

#include "xds/session.h"

namespace myrtlecroft::xds {

struct ParsedRequest {
  std::string node;  // empty if the request doesn't name it
  std::string zone;
  std::optional<Request> request;  // none if the type is not served
};

// Returns false if the bytes are not a message of this protocol variant.
bool read_request(ProtocolVariant variant, const void* bytes, std::size_t size, ParsedRequest& out);

// Encodes a response without its resources; those are serialised already and are appended unchanged.
std::string encode_response_header(const Response& response, ProtocolVariant variant);
// The encoding of a resource as a field of such a response.
inline const std::string& encoded_resource(const Resource& resource, ProtocolVariant variant) {
  return variant == ProtocolVariant::kDelta ? resource.delta_encoding : resource.sotw_encoding;
}

}  // namespace myrtlecroft::xds
