#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <gtest/gtest.h>

#include "tests/clients/Crowd.h"
#include "tests/clients/DescriptorLimit.h"
#include "tests/clients/ProcessProbe.h"
#include "tests/clients/SystemProcesses.h"

namespace foxtailbarrow::clients {

namespace {

constexpr std::size_t kMegabyte = 1UL << 20U;
/// Sent by a client whose message does not end.
constexpr std::size_t kEndless = 4 * kMegabyte;
/// The largest body that the system takes by default.
constexpr std::size_t kLargestBody = kMegabyte;

const OneRequest kJob{
  "POST",
  "/jobs/00000000000000aa",
  R"({"Spec":"","Steps":[{"Replicas":1,"Cpu":100,"MemMb":10}]})"
};
const OneRequest kPage{ "GET", "/metrics", {} };
const OneRequest kNoPage{ "GET", "/nothing", {} };

using Ports = SystemProcesses;

const TestedPort kCallers{ "SchedulerCallers",
                           Process::Scheduler,
                           Ports::kCallerPort,
                           kJob,
                           200 };

const std::array kOtherPorts{
  TestedPort{ "SchedulerReady",
              Process::Scheduler,
              Ports::kReadyPort,
              kNoPage,
              200 },
  TestedPort{ "SchedulerPeers",
              Process::Scheduler,
              Ports::kPeerPort,
              kNoPage,
              404 },
  TestedPort{ "SchedulerControl",
              Process::Scheduler,
              Ports::kControlPort,
              kNoPage,
              404 },
  TestedPort{ "SchedulerMetrics",
              Process::Scheduler,
              Ports::kMetricsPort,
              kPage,
              200 },
  TestedPort{ "TaskAgentOwner",
              Process::TaskAgent,
              Ports::kPeerPort,
              kNoPage,
              404 },
  TestedPort{ "TaskAgentWorker",
              Process::TaskAgent,
              Ports::kControlPort,
              kNoPage,
              404 },
  TestedPort{ "TaskAgentMetrics",
              Process::TaskAgent,
              Ports::kMetricsPort,
              kPage,
              200 },
  TestedPort{ "EntryCallers",
              Process::Entry,
              Ports::kCallerPort,
              kNoPage,
              400 },
  TestedPort{ "EntryControl", Process::Entry, Ports::kControlPort, kPage, 200 },
  TestedPort{ "AgentEntries", Process::Agent, Ports::kPeerPort, kPage, 200 },
};

std::string PostHead(const std::string& aFraming)
{
  return "POST /jobs/00000000000000bb HTTP/1.1\r\nHost: any\r\n" + aFraming +
         "\r\n\r\n";
}

std::string ChunkedHead()
{
  return PostHead("Transfer-Encoding: chunked");
}

std::string LengthHead(std::size_t aBytes)
{
  return PostHead("Content-Length: " + std::to_string(aBytes));
}

struct InputCase
{
  const char* mName;
  CrowdInput mInput;
};

const InputCase kEndlessTrailers{
  "EndlessTrailers",
  { ChunkedHead() + "2\r\n{}\r\n0\r\n", "Trailer: some text\r\n", kEndless }
};
const InputCase kUnfinishedBodies{
  "UnfinishedBodies",
  { LengthHead(kLargestBody), "a", kLargestBody - 1 }
};
const InputCase kIdleConnections{ "IdleConnections", {} };

/// A body of many small values, which take far more memory than its text.
CrowdInput ManyValues()
{
  const std::string begin = R"({"Steps":[)";
  const std::string value = "[],";
  const std::size_t count = (kLargestBody - begin.size()) / value.size();
  const std::size_t bytes = count * value.size();
  return { LengthHead(begin.size() + bytes) + begin, value, bytes };
}

/// The values in a message that reaches the parser of jobs, or of calls.
CrowdInput ManyValuesFor(const std::string& aTarget,
                         const std::string& aHost,
                         const std::string& aBegin)
{
  const std::string value = "[],";
  const std::size_t count = (kLargestBody - aBegin.size()) / value.size();
  const std::size_t bytes = count * value.size();
  return { "POST " + aTarget + " HTTP/1.1\r\nHost: " + aHost +
             "\r\nContent-Length: " + std::to_string(aBegin.size() + bytes) +
             "\r\n\r\n" + aBegin,
           value,
           bytes };
}

const InputCase kManyValuesOfAJob{
  "ManyValuesOfAJob",
  ManyValuesFor(
    "/jobs/00000000000000bb",
    ToString(SystemProcesses::At(Process::Scheduler, Ports::kCallerPort)),
    R"({"Steps":[)")
};
const InputCase kManyValuesOfACall{
  "ManyValuesOfACall",
  ManyValuesFor("/rpc",
                "any",
                R"({"jsonrpc":"2.0","id":1,"method":"a","params":{"a":[)")
};

struct CrowdCase
{
  TestedPort mPort;
  InputCase mInput;
};

std::string NameOf(const testing::TestParamInfo<CrowdCase>& aInfo)
{
  return std::string(aInfo.param.mPort.mName) + aInfo.param.mInput.mName;
}

std::vector<CrowdCase> CallerCases()
{
  const std::array inputs{
    kEndlessTrailers,
    kUnfinishedBodies,
    InputCase{ "EndlessTrailerLine",
               { ChunkedHead() + "2\r\n{}\r\n0\r\nTrailer: ", "a", kEndless } },
    InputCase{ "EndlessChunkExtension",
               { ChunkedHead() + "2;name=", "a", kEndless } },
    InputCase{ "EndlessChunkSize", { ChunkedHead(), "0", kEndless } },
    InputCase{ "EndlessChunks", { ChunkedHead(), "4\r\nabcd\r\n", kEndless } },
    InputCase{ "EndlessHeader",
               { "GET / HTTP/1.1\r\nHost: any\r\n", "A: b\r\n", kEndless } },
    InputCase{ "EndlessTarget", { "GET /", "a", kEndless } },
    InputCase{ "AnnouncedTooLarge",
               { LengthHead(1024 * kMegabyte), "a", kEndless } },
    InputCase{ "PipelinedRequests",
               { "", "GET /nothing HTTP/1.1\r\nHost: any\r\n\r\n", kEndless } },
    InputCase{ "ManyValues", ManyValues() },
    kManyValuesOfAJob,
  };
  std::vector<CrowdCase> cases;
  for (const InputCase& input : inputs) {
    cases.push_back({ kCallers, input });
  }
  return cases;
}

std::vector<CrowdCase> CasesOfOtherPorts()
{
  std::vector<CrowdCase> cases;
  for (const TestedPort& port : kOtherPorts) {
    cases.push_back({ port, kEndlessTrailers });
    cases.push_back({ port, kUnfinishedBodies });
    cases.push_back({ port, kManyValuesOfACall });
  }
  return cases;
}

std::vector<CrowdCase> CasesOfAllPorts(const InputCase& aInput)
{
  std::vector<CrowdCase> cases{ { kCallers, aInput } };
  for (const TestedPort& port : kOtherPorts) {
    cases.push_back({ port, aInput });
  }
  return cases;
}

/// Clients that do not behave, beside an ordinary one.
class CrowdTest : public testing::TestWithParam<CrowdCase>
{
protected:
  void Start()
  {
    mSystem = std::make_unique<SystemProcesses>(Port().mProcess);
    ASSERT_TRUE(Serves()) << "before the crowd";
  }

  const TestedPort& Port() const { return GetParam().mPort; }
  Endpoint At() const
  {
    return SystemProcesses::At(Port().mProcess, Port().mNumber);
  }
  pid_t Id() { return mSystem->Tested().Id(); }
  bool Serves() const
  {
    return IsAnswered(At(), Port().mOrdinary, Port().mStatus);
  }

  std::unique_ptr<SystemProcesses> mSystem;
};

class CrowdMemoryTest : public CrowdTest
{};

TEST_P(CrowdMemoryTest, StaysWithinTheMachine)
{
  Start();
  const pid_t process = Id();
  {
    Crowd crowd(At(), GetParam().mInput.mInput, CrowdOf(Port().mProcess));
    crowd.Press();
    EXPECT_LE(PeakMemory(process) + UnreadBytes(At()),
              MemoryBound(Port().mProcess));
    EXPECT_TRUE(Serves()) << "beside the crowd";
  }
  EXPECT_TRUE(Serves()) << "after the crowd";
  EXPECT_EQ(Id(), process) << "the process has ended";
  EXPECT_LE(PeakMemory(process), MemoryBound(Port().mProcess));
  RecordProperty("PeakMemory", std::to_string(PeakMemory(process)));
}

INSTANTIATE_TEST_SUITE_P(Callers,
                         CrowdMemoryTest,
                         testing::ValuesIn(CallerCases()),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Others,
                         CrowdMemoryTest,
                         testing::ValuesIn(CasesOfOtherPorts()),
                         NameOf);

class CrowdDescriptorTest : public CrowdTest
{};

TEST_P(CrowdDescriptorTest, LeavesDescriptorsForOthers)
{
  constexpr std::size_t kDescriptors = 260;
  constexpr std::size_t kKeptForFiles = 200;
  constexpr std::size_t kConnections = 90;
  {
    const DescriptorLimit limit(kDescriptors);
    Start();
  }
  const pid_t process = Id();
  {
    Crowd crowd(At(), GetParam().mInput.mInput, kConnections);
    crowd.Press();
    EXPECT_LE(OpenSockets(process), kDescriptors - kKeptForFiles);
    EXPECT_TRUE(Serves()) << "beside the crowd";
    EXPECT_LE(OpenSockets(process), kDescriptors - kKeptForFiles);
  }
  EXPECT_TRUE(Serves()) << "after the crowd";
  EXPECT_EQ(Id(), process) << "the process has ended";
}

INSTANTIATE_TEST_SUITE_P(Idle,
                         CrowdDescriptorTest,
                         testing::ValuesIn(CasesOfAllPorts(kIdleConnections)),
                         NameOf);
INSTANTIATE_TEST_SUITE_P(Unfinished,
                         CrowdDescriptorTest,
                         testing::Values(CrowdCase{
                           kCallers,
                           { "UnfinishedHeaders",
                             { "POST / HTTP/1.1\r\nA: ", "b", 100 } } }),
                         NameOf);

class CrowdStopTest : public CrowdTest
{};

TEST_P(CrowdStopTest, EndsAtTheSignal)
{
  Start();
  Crowd crowd(At(), GetParam().mInput.mInput, CrowdOf(Port().mProcess));
  crowd.Press();
  mSystem->Tested().Signal(SIGTERM);
  constexpr int kPolls = 400;
  constexpr unsigned kPauseUs = 100'000;
  for (int i = 0; i < kPolls && mSystem->Tested().Running(); ++i) {
    ::usleep(kPauseUs);
  }
  EXPECT_FALSE(mSystem->Tested().Running());
}

INSTANTIATE_TEST_SUITE_P(
  Stop,
  CrowdStopTest,
  testing::Values(CrowdCase{ kCallers, kUnfinishedBodies },
                  CrowdCase{ kCallers, kEndlessTrailers },
                  CrowdCase{ kCallers, kIdleConnections }),
  NameOf);

} // namespace

} // namespace foxtailbarrow::clients
