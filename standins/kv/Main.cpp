#include <iostream>

#include "src/net/FiberRuntime.h"
#include "src/telemetry/Settings.h"
#include "standins/kv/KvService.h"

int main(int argc, char** argv)
{
  using namespace foxtailbarrow;
  net::BlockSignals();
  Endpoint listen{ "127.0.0.1", 0 };
  Settings settings("foxtailbarrow-standin-kv",
                    "Key-value store of the users' platform, for tests");
  settings.AddListen("--listen", listen, "Address to listen on");
  if (const auto code = settings.Parse(argc, argv)) {
    return *code;
  }
  net::FiberRuntime runtime(1);
  const auto service = standin::KvService::Start(runtime, listen, 1);
  if (!service.ok()) {
    std::cerr << service.status().message() << '\n';
    return 1;
  }
  std::cout << "listening on " << ToString((*service)->ListeningEndpoint())
            << std::endl;
  net::WaitForSignal();
  return 0;
}
