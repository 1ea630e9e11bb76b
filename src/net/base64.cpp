#include "net/base64.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace myrtlecroft::net {
namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::array<std::int8_t, 256> kValues = [] {
  std::array<std::int8_t, 256> values{};
  values.fill(-1);
  for (std::size_t i = 0; i < kAlphabet.size(); ++i) {
    values[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::int8_t>(i);
  }
  return values;
}();

}  // namespace

void append_base64(std::string& out, std::string_view bytes) {
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0u);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += k <= count ? kAlphabet[group >> (18 - 6 * k) & 63] : '=';
    }
  }
}

std::optional<std::string> from_base64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  std::string bytes;
  bytes.reserve(text.size() / 4 * 3);
  std::uint32_t group = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    bool is_padding = i >= text.size() - padding;
    int value = is_padding ? 0 : kValues[static_cast<unsigned char>(text[i])];
    if (value < 0) return std::nullopt;
    group = group << 6 | static_cast<std::uint32_t>(value);
    if (i % 4 != 3) continue;
    for (int shift = 16; shift >= 0; shift -= 8) bytes += static_cast<char>(group >> shift & 255);
    group = 0;
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace myrtlecroft::net
