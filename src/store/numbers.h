// Little-endian numbers in files: for the formats of the store and of the packages that keep records in it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlecroft::store {

// Appends `number` in sizeof(Number) bytes.
template <class Number>
void put_number(std::string& out, Number number) {
  for (std::size_t i = 0; i < sizeof number; ++i) {
    out += static_cast<char>(static_cast<std::uint64_t>(number) >> (8 * i) & 0xff);
  }
}

// The number at the front of `bytes`, which must hold at least sizeof(Number) bytes.
template <class Number>
Number get_number(std::string_view bytes) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    number |= std::uint64_t{static_cast<std::uint8_t>(bytes[i])} << (8 * i);
  }
  return static_cast<Number>(number);
}

}  // namespace myrtlecroft::store
