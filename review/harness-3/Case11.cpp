#include "Case.h"

/// Two runners crash, one after the other, each 0.3 s after it has started the
/// task of a job.
namespace {

using namespace review;

constexpr char kPath[] = "/lohu930/5c0e7a21d94b36f8";
constexpr char kBody[] =
  R"({"Spec":"text","Steps":[{"Replicas":1,"Cpu":500,"MemMb":256,)"
  R"("EstimateMs":3000}]})";
constexpr long long kAfterStartMs = 300;
constexpr long long kDownMs = 2000;
constexpr long long kFinishMs = 30'000;
constexpr std::size_t kCrashes = 2;

/// The time of the task's start number `aCount`; -1 if there was none yet.
long long StartedAt(Cell& aCell, std::size_t aCount)
{
  for (const RunEvent& event : aCell.Runs().Events()) {
    if (event.mKind == RunEvent::Kind::Started && --aCount == 0) {
      return event.mAtMs;
    }
  }
  return -1;
}

Verdict Run(const std::string& aLogs, Record& aRecord)
{
  Cell& cell =
    Cell::Make({ .mFronts = 3, .mSides = 7, .mFolder = aLogs },
               aRecord,
               [](const std::string&) { return TaskPlan{ .mWorkMs = 3000 }; });
  const Queue queue{ .mName = "r-3hwrr6x",
                     .mPrefix = "/lohu930/",
                     .mAttempts = 3 };
  if (!cell.Begin(Configuration(7, { queue })) ||
      !Submit(cell, 0, kPath, kBody)) {
    return Verdict::NotRun;
  }
  const long long end = NowMs() + kFinishMs;
  std::size_t crashes = 0;
  Runner* down = nullptr;
  long long crashedAt = 0;
  std::string state;
  while (NowMs() < end && state != "completed" && state != "failed") {
    SleepMs(20);
    if (down != nullptr && NowMs() - crashedAt >= kDownMs) {
      down->Start();
      down = nullptr;
    }
    const long long started = StartedAt(cell, crashes + 1);
    if (WithTrouble() && crashes < kCrashes && down == nullptr &&
        started >= 0 && NowMs() - started >= kAfterStartMs) {
      down = cell.Runs().LastStarter();
      down->Crash();
      crashedAt = NowMs();
      ++crashes;
    }
    if (NowMs() % 1000 < 20) {
      state = StateOf(cell, 1, kPath);
    }
  }
  std::size_t failures = 0;
  for (const RunEvent& event : cell.Runs().Events()) {
    failures += event.mHow == "failed" ? 1 : 0;
  }
  if (state == "completed") {
    return Verdict::Held;
  }
  aRecord.Add("LOST: the job is " + state + ", " + std::to_string(failures) +
              " of its runs have ended failed, " + std::to_string(crashes) +
              " runners have crashed; the queue has 3 attempts");
  return Verdict::Broken;
}

} // namespace

int main(int aArguments, char** aValues)
{
  return RunCase(aArguments, aValues, Run);
}
