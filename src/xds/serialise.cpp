#include "xds/serialise.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <xxhash.h>

#include <utility>

#include "discovery.pb.h"

namespace myrtlecroft::xds {
namespace {

namespace discovery = envoy::service::discovery::v3;
using google::protobuf::Message;

std::string serialise(const Message& message) {
  std::string out;
  {
    google::protobuf::io::StringOutputStream stream(&out);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);  // map fields have no defined order otherwise
    message.SerializeToCodedStream(&coded);
  }
  return out;
}

// Encodes a length-delimited field: tag, length, bytes.
std::string encode_field(std::uint32_t number, const std::string& bytes) {
  std::string out;
  {
    google::protobuf::io::StringOutputStream stream(&out);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.WriteTag(number << 3 | 2);
    coded.WriteVarint32(static_cast<std::uint32_t>(bytes.size()));
    coded.WriteString(bytes);
  }
  return out;
}

}  // namespace

ResourcePtr make_resource(ResourceType type, const std::string& name, const Message& message,
                          std::vector<std::string> references) {
  std::string bytes = serialise(message);
  auto made = std::make_shared<Resource>();
  made->name = name;
  made->version = hex(XXH3_64bits(bytes.data(), bytes.size()));
  made->references = std::move(references);
  google::protobuf::Any any;
  any.set_type_url(type_url_of(type));
  any.set_value(std::move(bytes));
  std::string packed = serialise(any);
  made->sotw_encoding = encode_field(discovery::DiscoveryResponse::kResourcesFieldNumber, packed);
  std::string delta_encoding = encode_field(discovery::Resource::kVersionFieldNumber, made->version) +
                               encode_field(discovery::Resource::kResourceFieldNumber, packed) +
                               encode_field(discovery::Resource::kNameFieldNumber, name);
  made->delta_encoding =
      encode_field(discovery::DeltaDiscoveryResponse::kResourcesFieldNumber, delta_encoding);
  return made;
}

bool parse_encoded(const Resource& resource, Message& out) {
  discovery::DiscoveryResponse response;
  return response.ParseFromString(resource.sotw_encoding) && response.resources_size() == 1 &&
         out.ParseFromString(response.resources(0).value());
}

}  // namespace myrtlecroft::xds
