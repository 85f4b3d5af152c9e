#include "Case.h"

/// A job names a rack with a character that the project's records do not allow.
/// The process that has accepted it, and runs it, is killed.
namespace {

using namespace review;

constexpr char kPath[] = "/lohu930/5c0e7a21d94b36f8";
constexpr char kBody[] =
  R"({"Spec":"text","Steps":[)"
  R"({"Replicas":2,"Cpu":500,"MemMb":256,"EstimateMs":4000,"Affinity":"r1/3"},)"
  R"({"Replicas":2,"Cpu":500,"MemMb":256,"EstimateMs":4000,"After":[0]}]})";
constexpr std::size_t kTasks = 4;
constexpr long long kWorkMs = 4000;

Verdict Run(const std::string& aLogs, Record& aRecord)
{
  Cell& cell = Cell::Make(
    { .mFronts = 3, .mSides = 4, .mFolder = aLogs, .mRacks = { "r1/3" } },
    aRecord,
    [](const std::string&) { return TaskPlan{ .mWorkMs = kWorkMs }; });
  if (!cell.Begin(Configuration(1, { { "r-3hwrr6x", "/lohu930/" } }))) {
    return Verdict::NotRun;
  }
  const std::size_t leader = *cell.Leader();
  if (!Submit(cell, leader, kPath, kBody)) {
    return Verdict::NotRun;
  }
  const long long accepted = NowMs();
  SleepMs(1500);
  if (WithTrouble()) {
    KillAndRestart(cell, leader, aRecord);
  }
  const bool lost = StandsStill(cell, kTasks, accepted, aRecord);
  SleepMs(1000);
  const std::string state = StateOf(cell, (leader + 1) % cell.Fronts(), kPath);
  return lost || state != "completed" ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int aArguments, char** aValues)
{
  return RunCase(aArguments, aValues, Run);
}
