#pragma once

#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "soak/Child.h"
#include "src/net/FiberRuntime.h"
#include "standins/kv/KvService.h"
#include "tests/clients/TestedPort.h"

namespace foxtailbarrow::clients {

/// The system's own programs as child processes on a loopback network of their
/// own: a scheduler and a task agent, or an entry and an agent, with stand-ins
/// of what they need.
class SystemProcesses
{
public:
  static constexpr std::uint16_t kCallerPort = 7000;
  static constexpr std::uint16_t kReadyPort = 7001;
  static constexpr std::uint16_t kPeerPort = 7002;
  static constexpr std::uint16_t kControlPort = 7003;
  static constexpr std::uint16_t kMetricsPort = 7004;
  static constexpr std::uint16_t kStorePort = 7010;
  static constexpr std::uint16_t kWorkerPort = 7011;
  static constexpr std::uint16_t kBackendPort = 7012;

  /// Starts the process and those beside it. Those listed in `aMissing` are
  /// left out, for a test that takes their place.
  explicit SystemProcesses(Process aTested,
                           std::vector<std::uint16_t> aMissing = {});
  ~SystemProcesses();

  SystemProcesses(const SystemProcesses&) = delete;
  SystemProcesses& operator=(const SystemProcesses&) = delete;

  static Endpoint At(Process aProcess, std::uint16_t aPort);
  /// Address of a stand-in.
  static Endpoint At(std::uint16_t aPort);

  soak::Child& Tested() { return *mTested; }

  /// Writes the next version of the operator's configuration.
  void Configure(const Json::Value& aLimits);

private:
  bool Missing(std::uint16_t aPort) const;
  void StartCell();
  void StartEntry();
  void StartStandIn(const std::string& aName, std::uint16_t aPort);
  soak::Child& Add(std::vector<std::string> aCommand);

  std::vector<std::uint16_t> mMissing;
  int mVersion = 0;
  net::FiberRuntime mRuntime{ 1 };
  std::unique_ptr<standin::KvService> mStore;
  std::vector<std::unique_ptr<soak::Child>> mChildren;
  soak::Child* mTested = nullptr;
};

} // namespace foxtailbarrow::clients
