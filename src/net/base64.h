// Base64 with padding (RFC 4648).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace myrtlecroft::net {

void append_base64(std::string& out, std::string_view bytes);
// Returns nothing when the length is not a multiple of 4, or a character is outside the alphabet.
std::optional<std::string> from_base64(std::string_view text);

}  // namespace myrtlecroft::net
