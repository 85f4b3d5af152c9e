#pragma once

#include <cstdint>
#include <string_view>

namespace foxtailbarrow {

/// Mixes the bits of a number (finalizer of SplitMix64).
constexpr std::uint64_t MixBits(std::uint64_t aValue)
{
  aValue += 0x9e3779b97f4a7c15ULL;
  aValue = (aValue ^ (aValue >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

/// Hash of a string (FNV-1a, mixed) that, unlike absl::Hash, is the same in
/// every process and release. Processes must agree on it.
constexpr std::uint64_t StableHash(std::string_view aText)
{
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char letter : aText) {
    hash ^= static_cast<unsigned char>(letter);
    hash *= 0x100000001b3ULL;
  }
  return MixBits(hash);
}

} // namespace foxtailbarrow
