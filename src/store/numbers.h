// Little-endian encoding of integers, for the store's file formats and for the values that other packages
// keep in a store.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace myrtlecroft::store {

// Appends `number` to `out` as sizeof(Number) bytes.
template <class Number>
void put_number(std::string& out, Number number) {
  for (std::size_t i = 0; i < sizeof number; ++i) {
    out += static_cast<char>(static_cast<std::uint64_t>(number) >> (8 * i) & 0xff);
  }
}

// Returns the number at the start of `bytes`. `bytes` must have at least sizeof(Number) bytes; the size is
// not checked.
template <class Number>
Number get_number(std::string_view bytes) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    number |= std::uint64_t{static_cast<std::uint8_t>(bytes[i])} << (8 * i);
  }
  return static_cast<Number>(number);
}

}  // namespace myrtlecroft::store
