#include <memory>
#include <string>

#include <unistd.h>

#include <gtest/gtest.h>

#include "tests/clients/EndlessServer.h"
#include "tests/clients/ProcessProbe.h"
#include "tests/clients/SystemProcesses.h"

namespace foxtailbarrow::clients {

namespace {

constexpr std::size_t kAnswerBytes = 512UL << 20U;

constexpr char kChunkedHead[] =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct AnswerCase
{
  const char* mName;
  Process mProcess;       ///< Reads the answers.
  std::uint16_t mPeer;    ///< Port of the stand-in whose place is taken.
  std::uint16_t mPage;    ///< Port that answers meanwhile.
  const char* mAfterHead; ///< Of the answer.
  const char* mFiller;
};

/// A task agent calls its worker only once it has heard from it.
void SendHeartbeat()
{
  const std::string address =
    ToString(SystemProcesses::At(SystemProcesses::kWorkerPort));
  Ask(SystemProcesses::At(Process::TaskAgent, SystemProcesses::kControlPort),
      { "PUT",
        "/runners/worker-1",
        R"({"Service":"service","Addr":")" + address +
          R"(","Zone":"zone","Version":"v1","Slots":8,"State":"ready",)"
          R"("ColdLeftMs":0,"Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},)"
          R"("Labels":["a","r1"],"ClockMs":1,"CallSeq":1})" });
}

class EndlessAnswerTest : public testing::TestWithParam<AnswerCase>
{};

TEST_P(EndlessAnswerTest, IsNotTakenIn)
{
  const AnswerCase& param = GetParam();
  EndlessServer peer(SystemProcesses::At(param.mPeer),
                     std::string(kChunkedHead) + param.mAfterHead,
                     param.mFiller,
                     kAnswerBytes);
  SystemProcesses system(param.mProcess, { param.mPeer });
  const pid_t process = system.Tested().Id();
  constexpr int kPolls = 300;
  constexpr unsigned kPauseUs = 100'000;
  constexpr int kEnough = 3;
  for (int i = 0; i < kPolls && peer.Answers() < kEnough; ++i) {
    if (param.mProcess == Process::TaskAgent) {
      SendHeartbeat();
    }
    ::usleep(kPauseUs);
  }
  EXPECT_GE(peer.Answers(), kEnough);
  const OneRequest page{ "GET", "/metrics", {} };
  EXPECT_TRUE(
    IsAnswered(SystemProcesses::At(param.mProcess, param.mPage), page, 200));
  EXPECT_EQ(system.Tested().Id(), process) << "the process has ended";
  EXPECT_LE(PeakMemory(process), MemoryBound(param.mProcess));
}

constexpr char kTrailers[] = "2\r\n{}\r\n0\r\n";
constexpr char kTrailer[] = "Trailer: some text\r\n";
using Ports = SystemProcesses;

INSTANTIATE_TEST_SUITE_P(Table,
                         EndlessAnswerTest,
                         testing::Values(AnswerCase{ "TrailersOfTheStore",
                                                     Process::Scheduler,
                                                     Ports::kStorePort,
                                                     Ports::kMetricsPort,
                                                     kTrailers,
                                                     kTrailer },
                                         AnswerCase{ "ChunkExtensionOfTheStore",
                                                     Process::Scheduler,
                                                     Ports::kStorePort,
                                                     Ports::kMetricsPort,
                                                     "2;name=",
                                                     "a" },
                                         AnswerCase{ "TrailersOfTheWorker",
                                                     Process::TaskAgent,
                                                     Ports::kWorkerPort,
                                                     Ports::kMetricsPort,
                                                     kTrailers,
                                                     kTrailer },
                                         AnswerCase{ "TrailersOfTheBackend",
                                                     Process::Agent,
                                                     Ports::kBackendPort,
                                                     Ports::kPeerPort,
                                                     kTrailers,
                                                     kTrailer },
                                         AnswerCase{ "TrailersOfTheEntrysStore",
                                                     Process::Entry,
                                                     Ports::kStorePort,
                                                     Ports::kControlPort,
                                                     kTrailers,
                                                     kTrailer }),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.mName);
                         });

} // namespace

} // namespace foxtailbarrow::clients
