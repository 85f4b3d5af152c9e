#pragma once

#include <string>

#include <unistd.h>

#include "tests/net/FreeEndpoint.h"

namespace foxtailbarrow::net {

/// A local endpoint on which no process listens. Each call returns a different
/// loopback address, so that no other process or test takes the port before it
/// is used.
inline Endpoint PrivateEndpoint(FiberRuntime& aRuntime)
{
  constexpr int kOctet = 256;
  constexpr int kLastOctet = 254;
  static int calls = 0;
  const int process = ::getpid();
  const std::string address =
    "127." + std::to_string(1 + process / kOctet % kLastOctet) + "." +
    std::to_string(process % kOctet) + "." +
    std::to_string(1 + calls++ % kLastOctet);
  return FreeEndpoint(aRuntime, address);
}

} // namespace foxtailbarrow::net
