#include "soak/ForeignWriter.h"

#include <array>
#include <chrono>
#include <string>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "src/core/cell/records/CellRecords.h"

namespace foxtailbarrow::soak {

namespace {

using std::chrono::milliseconds;

constexpr Duration kWriteInterval = milliseconds(200);
constexpr Duration kHeartbeatTimeout = milliseconds(500);
/// Every n-th write makes the configuration unreadable.
constexpr int kConfigurationEvery = 12;

const std::array<std::string, 8> kTexts = {
  "",
  "null",
  "[[[",
  R"({"graph":7,"phase":3,"endpoint":[]})",
  R"({"Version":-1,"Routes":"none"})",
  R"({"Service":"service","Addr":"1.2.3.4:5","Zone":"z","CallSeq":9})",
  R"({"Service":"unknown","Addr":"1.2.3.4:5","Zone":"z","State":"ready",)"
  R"("DrainLeftMs":0,"CallSeq":99999999999,"Capacity":{"Cpu":-1}})",
  std::string("\xff\xfe\x00", 3),
};

} // namespace

ForeignWriter::ForeignWriter(net::FiberRuntime& aRuntime,
                             Fleet& aFleet,
                             unsigned aSeed)
  : mRuntime(aRuntime)
  , mFleet(aFleet)
  , mClient(aRuntime)
  , mRandom(aSeed)
{
}

void ForeignWriter::Start()
{
  mIsWriting = true;
  mRuntime.Spawn([this] {
    while (mIsWriting) {
      Write();
      SendHeartbeat();
      boost::this_fiber::sleep_for(kWriteInterval);
    }
  });
}

void ForeignWriter::Stop()
{
  if (std::exchange(mIsWriting, false)) {
    mFleet.Configure();
  }
}

std::string ForeignWriter::BadText()
{
  return kTexts[std::uniform_int_distribution<std::size_t>(
    0, kTexts.size() - 1)(mRandom)];
}

void ForeignWriter::Write()
{
  const std::string name = "foreign" + std::to_string(++mWritten);
  if (mWritten % kConfigurationEvery == 0) {
    mFleet.Store().Put("op/config", BadText());
    return;
  }
  const std::array<std::string, 3> keys = {
    cell::JobKey(JobId(name)),
    cell::ProgressKey(JobId(name)),
    std::string(cell::kAgentPrefix) + name,
  };
  mFleet.Store().Put(keys[mRandom() % keys.size()], BadText());
}

/// For an unknown incarnation, or for the worker's own.
void ForeignWriter::SendHeartbeat()
{
  const unsigned agent = mRandom();
  const bool own = mRandom() % 2 == 0;
  net::HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget = "/runners/" + (own ? mFleet.Worker(agent).Id() : "foreign");
  request.mBody = BadText();
  // The agent may be down, and is expected to reject the heartbeat.
  (void)mClient.Call(mFleet.AgentControl(agent), request, kHeartbeatTimeout);
}

} // namespace foxtailbarrow::soak
