#include "xds/wire.h"

#include "discovery.pb.h"

namespace myrtlecroft::xds {
namespace {

namespace discovery = envoy::service::discovery::v3;

template <class Message>
bool read_common(const Message& message, ParsedRequest& out) {
  out.node = message.node().id();
  out.zone = message.node().locality().zone();
  auto type = type_from_url(message.type_url());
  if (!type) return false;
  out.request.emplace();
  out.request->type = *type;
  out.request->nonce = message.response_nonce();
  if (message.has_error_detail()) out.request->error = message.error_detail().message();
  return true;
}

}  // namespace

bool read_request(ProtocolVariant variant, const void* bytes, std::size_t size, ParsedRequest& out) {
  if (variant == ProtocolVariant::kStateOfTheWorld) {
    discovery::DiscoveryRequest message;
    if (!message.ParseFromArray(bytes, static_cast<int>(size))) return false;
    if (!read_common(message, out)) return true;
    out.request->names.assign(message.resource_names().begin(), message.resource_names().end());
    return true;
  }
  discovery::DeltaDiscoveryRequest message;
  if (!message.ParseFromArray(bytes, static_cast<int>(size))) return false;
  if (!read_common(message, out)) return true;
  const auto& subscribe = message.resource_names_subscribe();
  const auto& unsubscribe = message.resource_names_unsubscribe();
  const auto& known_versions = message.initial_resource_versions();
  out.request->subscribe.assign(subscribe.begin(), subscribe.end());
  out.request->unsubscribe.assign(unsubscribe.begin(), unsubscribe.end());
  out.request->known_versions.insert(known_versions.begin(), known_versions.end());
  return true;
}

std::string encode_response_header(const Response& response, ProtocolVariant variant) {
  if (variant == ProtocolVariant::kStateOfTheWorld) {
    discovery::DiscoveryResponse out;
    out.set_version_info(response.version);
    out.set_type_url(type_url_of(response.type));
    out.set_nonce(response.nonce);
    return out.SerializeAsString();
  }
  discovery::DeltaDiscoveryResponse out;
  out.set_system_version_info(response.version);
  out.set_type_url(type_url_of(response.type));
  out.set_nonce(response.nonce);
  for (const std::string& name : response.removed) out.add_removed_resources(name);
  return out.SerializeAsString();
}

}  // namespace myrtlecroft::xds
