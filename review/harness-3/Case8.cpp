#include "Case.h"

#include <map>

/// A runner drains. As its tasks end, a write of the store is late, and the
/// processes of the leading scheduler and of the runner's agent are killed.
namespace {

using namespace review;

constexpr char kPath[] = "/lohu930/5c0e7a21d94b36f8";
constexpr char kBody[] =
  R"({"Spec":"text","Steps":[{"Replicas":64,"Cpu":500,"MemMb":256,)"
  R"("EstimateMs":6000}]})";
constexpr long long kWorkMs = 6000;
constexpr long long kApartMs = 160;
/// Of the tasks on other runners.
constexpr long long kLongWorkMs = 9000;
constexpr long long kLateMs = 5000;
constexpr std::size_t kTasks = 64;
constexpr int kRunners = 16;
constexpr std::size_t kTasksPerRunner = 4;

/// Number of the tasks that end first and were started on the runner.
std::size_t ShortTasks(Cell& aCell, const std::string& aRunner)
{
  std::size_t count = 0;
  for (const RunEvent& event : aCell.Runs().Events()) {
    if (event.mKind == RunEvent::Kind::Started && event.mRunner == aRunner) {
      const std::size_t dot = event.mTask.rfind('.');
      const int index = std::stoi(event.mTask.substr(dot + 1));
      count += index % kRunners == 0 ? 1 : 0;
    }
  }
  return count;
}

bool Ended(Cell& aCell, const std::string& aRunner)
{
  for (const RunEvent& event : aCell.Runs().Events()) {
    if (event.mKind == RunEvent::Kind::Ended && event.mRunner == aRunner) {
      return true;
    }
  }
  return false;
}

/// TWICE: a start after a run has ended done, whose end is taken note of before
/// the lease of its runner has lapsed.
bool RanTwice(Cell& aCell, Record& aRecord)
{
  struct End
  {
    std::string mRunner;
    long long mAtMs = 0;
    long long mStartedAgainMs = -1;
    bool mLapsed = false;
  };
  std::map<std::string, End> ends;
  bool twice = false;
  for (const RunEvent& event : aCell.Runs().Events()) {
    const auto end = ends.find(event.mTask);
    switch (event.mKind) {
      case RunEvent::Kind::Ended:
        if (event.mHow == "done") {
          ends.try_emplace(event.mTask, End{ event.mRunner, event.mAtMs });
        }
        break;
      case RunEvent::Kind::Started:
        if (end != ends.end()) {
          end->second.mStartedAgainMs = event.mAtMs;
        }
        break;
      case RunEvent::Kind::Lapsed:
        for (auto& [task, known] : ends) {
          known.mLapsed = known.mLapsed || known.mRunner == event.mRunner;
        }
        break;
      case RunEvent::Kind::Acked:
        if (event.mHow == "done" && end != ends.end() &&
            end->second.mStartedAgainMs >= 0 && !end->second.mLapsed) {
          aRecord.Add("TWICE: " + event.mTask + " ended done at " +
                      std::to_string(end->second.mAtMs) +
                      " ms and was started again at " +
                      std::to_string(end->second.mStartedAgainMs) +
                      " ms; its end was taken note of");
          twice = true;
        }
        break;
      case RunEvent::Kind::Lost:
        break;
    }
  }
  return twice;
}

Verdict Run(const std::string& aLogs, Record& aRecord)
{
  Cell& cell = Cell::Make(
    { .mFronts = 3, .mSides = kRunners, .mFolder = aLogs, .mStopMs = 900 },
    aRecord,
    [](const std::string& aTask) {
      const int index = std::stoi(aTask.substr(aTask.rfind('.') + 1));
      // Equal runners get the tasks in turn.
      return TaskPlan{ .mWorkMs = index % kRunners == 0
                                    ? kWorkMs + index / kRunners * kApartMs
                                    : kLongWorkMs };
    });
  if (!cell.Begin(Configuration(7, { { "r-3hwrr6x", "/lohu930/" } })) ||
      !Submit(cell, 0, kPath, kBody)) {
    return Verdict::NotRun;
  }
  SleepMs(1000);
  std::size_t leaving = cell.Runners();
  for (std::size_t i = 0; i < cell.Runners(); ++i) {
    if (ShortTasks(cell, cell.RunnerAt(i).Name()) == kTasksPerRunner) {
      leaving = i;
    }
  }
  if (leaving == cell.Runners()) {
    return Verdict::NotRun;
  }
  Runner& leaves = cell.RunnerAt(leaving);
  Process& agent = cell.Side(leaving);
  const std::string agentName = "side-" + std::to_string(leaving + 1);
  leaves.Drain(30'000);
  SleepMs(3500);
  const std::size_t leader = *cell.Leader();
  if (WithTrouble()) {
    cell.Platform().DelayNextWrite("foxtailbarrow/p/", kLateMs);
  }
  while (!Ended(cell, leaves.Name())) {
    SleepMs(5);
  }
  SleepMs(900);
  if (WithTrouble()) {
    aRecord.Add("platform: SIGKILL to the processes of front-" +
                std::to_string(leader + 1) + " and " + agentName);
    cell.Front(leader).Kill();
    agent.Kill();
    SleepMs(500);
    aRecord.Add("platform: front-" + std::to_string(leader + 1) +
                " starts again");
    cell.Front(leader).Start();
    SleepMs(1000);
    aRecord.Add("platform: " + agentName + " starts again");
    agent.Start();
  }
  SleepMs(12'000);
  const bool twice = RanTwice(cell, aRecord);
  aRecord.Add("the job is " + StateOf(cell, 1, kPath));
  if (cell.Runs().Done() < kTasks) {
    return Verdict::NotRun;
  }
  return twice ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int aArguments, char** aValues)
{
  return RunCase(aArguments, aValues, Run);
}
