#include "tests/clients/SystemProcesses.h"

#include <algorithm>
#include <utility>

#include <unistd.h>

#include <gtest/gtest.h>
#include <json/value.h>

#include "src/core/message/Json.h"

namespace foxtailbarrow::clients {

namespace {

constexpr unsigned kStandInHost = 100;

std::string Address(unsigned aHost)
{
  constexpr int kNetworks = 250;
  return "127.230." + std::to_string(::getpid() % kNetworks) + "." +
         std::to_string(aHost);
}

std::string Program(const std::string& aPath)
{
  return std::string(PROGRAMS_FOLDER) + "/" + aPath;
}

std::string Flag(const std::string& aName, const Endpoint& aEndpoint)
{
  return "--" + aName + "=" + ToString(aEndpoint);
}

} // namespace

Endpoint SystemProcesses::At(Process aProcess, std::uint16_t aPort)
{
  return { Address(1 + static_cast<unsigned>(aProcess)), aPort };
}

Endpoint SystemProcesses::At(std::uint16_t aPort)
{
  return { Address(kStandInHost), aPort };
}

SystemProcesses::SystemProcesses(Process aTested,
                                 std::vector<std::uint16_t> aMissing)
  : mMissing(std::move(aMissing))
{
  if (aTested == Process::Scheduler || aTested == Process::TaskAgent) {
    StartCell();
    mTested = mChildren[aTested == Process::Scheduler ? 0 : 1].get();
  } else {
    StartEntry();
    mTested = mChildren[aTested == Process::Entry ? 0 : 1].get();
  }
}

SystemProcesses::~SystemProcesses()
{
  mChildren.clear();
}

bool SystemProcesses::Missing(std::uint16_t aPort) const
{
  return std::ranges::find(mMissing, aPort) != mMissing.end();
}

soak::Child& SystemProcesses::Add(std::vector<std::string> aCommand)
{
  mChildren.push_back(
    std::make_unique<soak::Child>(std::move(aCommand), "/dev/null"));
  mChildren.back()->Start();
  return *mChildren.back();
}

void SystemProcesses::StartCell()
{
  if (!Missing(kStorePort)) {
    auto store = standin::KvService::Start(mRuntime, At(kStorePort), 1);
    ASSERT_TRUE(store.ok()) << store.status();
    mStore = *std::move(store);
    Configure({});
  }
  const std::size_t memoryMb = MemoryBound(Process::Scheduler) >> 20U;
  Add({ Program("apps/foxtailbarrow-scheduler"),
        "--id=scheduler",
        "--memory-mb=" + std::to_string(memoryMb),
        Flag("listen", At(Process::Scheduler, kCallerPort)),
        Flag("ready", At(Process::Scheduler, kReadyPort)),
        Flag("peers", At(Process::Scheduler, kPeerPort)),
        Flag("control", At(Process::Scheduler, kControlPort)),
        Flag("metrics", At(Process::Scheduler, kMetricsPort)),
        Flag("store", At(kStorePort)) });
  Add({ Program("apps/foxtailbarrow-taskagent"),
        "--id=agent",
        Flag("listen", At(Process::TaskAgent, kPeerPort)),
        Flag("control", At(Process::TaskAgent, kControlPort)),
        Flag("metrics", At(Process::TaskAgent, kMetricsPort)),
        Flag("worker", At(kWorkerPort)),
        Flag("store", At(kStorePort)),
        Flag("seeds", At(Process::Scheduler, kPeerPort)) });
  if (!Missing(kWorkerPort)) {
    Add({ Program("standins/foxtailbarrow-standin-taskworker"),
          Flag("listen", At(kWorkerPort)),
          Flag("agent", At(Process::TaskAgent, kControlPort)) });
  }
}

void SystemProcesses::Configure(const Json::Value& aLimits)
{
  Json::Value route;
  route["Name"] = "queue";
  route["Host"] = At(Process::Scheduler, kCallerPort).mAddress;
  route["Prefix"] = "/jobs/";
  route["Service"] = "service";
  route["TimeoutMs"] = 3000;
  route["SloMs"] = 1000;
  route["Attempts"] = 3;
  route["Stretch"] = 2.0;
  Json::Value configuration;
  configuration["Version"] = ++mVersion;
  configuration["Limits"] = aLimits;
  configuration["Routes"].append(route);
  mRuntime.RunAndWait(
    [&] { mStore->Put("op/config", FormatJson(configuration)); });
}

void SystemProcesses::StartStandIn(const std::string& aName,
                                   std::uint16_t aPort)
{
  if (!Missing(aPort)) {
    Add({ Program("standins/foxtailbarrow-standin-" + aName),
          Flag("listen", At(aPort)) });
  }
}

void SystemProcesses::StartEntry()
{
  Add({ Program("apps/foxtailbarrow-entry"),
        "--id=entry",
        "--failure-domain=domain",
        "--share-slots=1",
        Flag("listen", At(Process::Entry, kCallerPort)),
        Flag("control", At(Process::Entry, kControlPort)),
        Flag("store", At(kStorePort)) });
  Add({ Program("apps/foxtailbarrow-agent"),
        "--id=agent",
        "--service=service",
        "--rack=rack",
        "--failure-domain=domain",
        Flag("listen", At(Process::Agent, kPeerPort)),
        Flag("worker", At(kWorkerPort)),
        Flag("backend", At(kBackendPort)),
        Flag("entries", At(Process::Entry, kControlPort)) });
  StartStandIn("store", kStorePort);
  StartStandIn("worker", kWorkerPort);
  StartStandIn("backend", kBackendPort);
}

} // namespace foxtailbarrow::clients
