#pragma once

#include <string>

#include <gtest/gtest.h>

#include "src/net/HttpServer.h"

namespace foxtailbarrow::net {

/// An endpoint of the address whose port is currently free.
inline Endpoint FreeEndpoint(FiberRuntime& aRuntime,
                             const std::string& aAddress = "127.0.0.1")
{
  auto server = HttpServer::Start(
    aRuntime, { aAddress, 0 }, [](HttpRequest&) { return HttpResponse(); });
  EXPECT_TRUE(server.ok());
  return (*server)->ListeningEndpoint();
}

} // namespace foxtailbarrow::net
