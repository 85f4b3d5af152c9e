#pragma once

#include <string>

#include <gtest/gtest.h>

#include "src/net/HttpServer.h"

namespace foxtailbarrow::net {

/// A port of the address that is free now.
inline Endpoint FreeEndpoint(FiberRuntime& aRuntime,
                             const std::string& aAddress = "127.0.0.1")
{
  auto server = HttpServer::Start(
    aRuntime, { aAddress, 0 }, [](HttpRequest&) { return HttpResponse(); });
  EXPECT_TRUE(server.ok());
  return (*server)->ListeningEndpoint();
}

} // namespace foxtailbarrow::net
