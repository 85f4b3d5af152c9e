#pragma once

#include <gtest/gtest.h>

#include "src/net/HttpServer.h"

namespace foxtailbarrow::net {

/// A port of this machine that is free now.
inline Endpoint FreeEndpoint(FiberRuntime& aRuntime)
{
  auto server = HttpServer::Start(
    aRuntime, { "127.0.0.1", 0 }, [](HttpRequest&) { return HttpResponse(); });
  EXPECT_TRUE(server.ok());
  return (*server)->ListeningEndpoint();
}

} // namespace foxtailbarrow::net
