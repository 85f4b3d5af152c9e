#include "foxtailbarrow/Endpoint.h"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"

namespace foxtailbarrow {

std::string ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
}

std::optional<Endpoint> ParseEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint{ std::string(aText.substr(0, colon)), 0 };
  const std::string portText(aText.substr(colon + 1));
  in_addr parsed{};
  if (inet_pton(AF_INET, endpoint.mAddress.c_str(), &parsed) != 1) {
    return std::nullopt;
  }
  if (int port = 0;
      absl::SimpleAtoi(portText, &port) && port >= 1 && port <= 65535) {
    endpoint.mPort = static_cast<std::uint16_t>(port);
    return endpoint;
  }
  return std::nullopt;
}

} // namespace foxtailbarrow
