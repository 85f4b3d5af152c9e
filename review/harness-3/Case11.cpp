#include "Case.h"

/// The operator removes a queue while a job of it runs. Then the process of the
/// scheduler that leads is killed.
namespace {

using namespace review;

constexpr char kPath[] = "/pule252/5c0e7a21d94b36f8";
constexpr char kBody[] =
  R"({"Spec":"text","Steps":[)"
  R"({"Replicas":2,"Cpu":500,"MemMb":256,"EstimateMs":4000},)"
  R"({"Replicas":2,"Cpu":500,"MemMb":256,"EstimateMs":4000,"After":[0]}]})";
constexpr std::size_t kTasks = 4;
constexpr long long kWorkMs = 4000;

Verdict Run(const std::string& aLogs, Record& aRecord)
{
  const Queue stays{ "r-3hwrr6x", "/lohu930/" };
  const Queue goes{ "r-9n73hh2", "/pule252/" };
  Cell& cell = Cell::Make(
    { .mFronts = 3, .mSides = 4, .mFolder = aLogs },
    aRecord,
    [](const std::string&) { return TaskPlan{ .mWorkMs = kWorkMs }; });
  if (!cell.Begin(Configuration(7, { stays, goes }))) {
    return Verdict::NotRun;
  }
  const std::size_t leader = *cell.Leader();
  if (!Submit(cell, (leader + 1) % cell.Fronts(), kPath, kBody)) {
    return Verdict::NotRun;
  }
  const long long accepted = NowMs();
  SleepMs(1000);
  // Planned work, in both runs: without the kill the job goes on to its end.
  cell.Platform().Put("op/config", Configuration(9, { stays }));
  SleepMs(1000);
  if (WithTrouble()) {
    KillAndRestart(cell, leader, aRecord);
  }
  return StandsStill(cell, kTasks, accepted, aRecord) ? Verdict::Broken
                                                      : Verdict::Held;
}

} // namespace

int main(int aArguments, char** aValues)
{
  return RunCase(aArguments, aValues, Run);
}
