#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailbarrow {

/// Address of a listening process: an IPv4 address and a TCP port.
struct Endpoint
{
  std::string mAddress; ///< IPv4 address, for example "127.0.0.1".
  std::uint16_t mPort = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): a false positive of clang-tidy 14.
  auto operator<=>(const Endpoint&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const Endpoint& aEndpoint)
  {
    return H::combine(std::move(aState), aEndpoint.mAddress, aEndpoint.mPort);
  }
};

/// "address:port".
std::string ToString(const Endpoint& aEndpoint);

/// Reverse of ToString(); nullopt unless it is an IPv4 address and a port in
/// 1..65535.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

} // namespace foxtailbarrow
