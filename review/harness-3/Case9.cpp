#include "Case.h"

/// A change of the configuration gives a queue an objective of two days. Then
/// the processes of the front machines are stopped and started in turn.
namespace {

using namespace review;

constexpr char kPath[] = "/lohu930/5c0e7a21d94b36f8";
constexpr char kBody[] =
  R"({"Spec":"text","Steps":[)"
  R"({"Replicas":2,"Cpu":500,"MemMb":256,"EstimateMs":9000},)"
  R"({"Replicas":2,"Cpu":500,"MemMb":256,"EstimateMs":2000,"After":[0]}]})";
constexpr std::size_t kTasks = 4;
constexpr long long kTwoDaysMs = 172'800'000;
constexpr long long kOneHourMs = 3'600'000;

Verdict Run(const std::string& aLogs, Record& aRecord)
{
  Queue queue{ "r-3hwrr6x", "/lohu930/" };
  Cell& cell = Cell::Make({ .mFronts = 3, .mSides = 4, .mFolder = aLogs },
                          aRecord,
                          [](const std::string& aTask) {
                            const bool first =
                              aTask.find(".0.0.") != std::string::npos;
                            return TaskPlan{ .mWorkMs = first ? 9000 : 2000 };
                          });
  if (!cell.Begin(Configuration(7, { queue }))) {
    return Verdict::NotRun;
  }
  if (!Submit(cell, 0, kPath, kBody)) {
    return Verdict::NotRun;
  }
  queue.mSloMs = WithTrouble() ? kTwoDaysMs : kOneHourMs;
  SleepMs(500);
  cell.Platform().Put("op/config", Configuration(9, { queue }));
  SleepMs(3500);
  RollFronts(cell, aRecord);
  const long long rolled = NowMs();
  const bool lost = StandsStill(cell, kTasks, rolled, aRecord);
  SleepMs(1000);
  const std::string state = StateOf(cell, 0, kPath);
  return lost || state != "completed" ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int aArguments, char** aValues)
{
  return RunCase(aArguments, aValues, Run);
}
