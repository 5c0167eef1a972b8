/// \file
/// Little-endian integers in byte strings.

#ifndef PSP_STORAGE_BYTES_H
#define PSP_STORAGE_BYTES_H

#include <cstddef>
#include <string>
#include <string_view>

namespace psp::storage {

/// Appends \p Value to \p Out in sizeof(T) bytes, least significant first.
template <typename T> void putInteger(std::string &Out, T Value) {
  for (std::size_t I = 0; I < sizeof(T); ++I)
    Out.push_back(static_cast<char>((Value >> (8 * I)) & 0xFFU));
}

/// Reads an integer at \p Offset, which must lie inside \p Data.
template <typename T>
T getInteger(std::string_view Data, std::size_t Offset = 0) {
  T Value = 0;
  for (std::size_t I = 0; I < sizeof(T); ++I)
    Value |= static_cast<T>(static_cast<unsigned char>(Data[Offset + I]))
             << (8 * I);
  return Value;
}

} // namespace psp::storage

#endif
