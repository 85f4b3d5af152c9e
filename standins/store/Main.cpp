#include <cstdio>
#include <iostream>

#include "src/net/FiberRuntime.h"
#include "src/platform/store/MemoryStore.h"
#include "src/telemetry/Settings.h"
#include "standins/store/Gateway.h"

namespace foxtailbarrow {
namespace {

constexpr unsigned kThreads = 2;

int Run(const Endpoint& aListen)
{
  net::FiberRuntime runtime(kThreads);
  MemoryStore store;
  const auto gateway = Gateway::Start(runtime, store, aListen);
  if (!gateway.ok()) {
    std::cerr << gateway.status().message() << '\n';
    return 1;
  }
  std::cout << "listening on " << ToString((*gateway)->ListeningEndpoint())
            << std::endl;
  net::WaitForSignal();
  store.Close();
  return 0;
}

} // namespace
} // namespace foxtailbarrow

int main(int argc, char** argv)
{
  using namespace foxtailbarrow;
  net::BlockSignals();
  Endpoint listen{ "127.0.0.1", 0 };
  Settings settings("foxtailbarrow-standin-store",
                    "Key-value store for tests, by etcd v3's JSON gateway");
  settings.AddListen("--listen", listen, "Address to listen on");
  if (const auto code = settings.Parse(argc, argv)) {
    return *code;
  }
  return Run(listen);
}
