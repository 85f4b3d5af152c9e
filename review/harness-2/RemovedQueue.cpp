#include <csignal>

#include "Cases.h"
#include "Cell.h"

namespace review {

namespace {

constexpr double kConfigApplySeconds = 2.0;
constexpr double kFinishSeconds = 14.0;
constexpr double kIdleSeconds = 3.0;
constexpr double kPauseOfRoll = 2.0; ///< gap_s of roll_term.
constexpr int kGraceMs = 6000;

/// Stops each scheduler by SIGTERM and starts it again, one at a time.
void RollSchedulers(Cell& aCell)
{
  for (std::size_t i = 0; i < aCell.Schedulers(); ++i) {
    aCell.Log().Write("platform: SIGTERM to front-" + std::to_string(i + 1));
    aCell.Scheduler(i).Signal(SIGTERM);
    aCell.Scheduler(i).AwaitEnd(kGraceMs);
    aCell.Scheduler(i).Start();
    aCell.Log().Write("platform: front-" + std::to_string(i + 1) +
                      " started again");
    Sleep(kPauseOfRoll);
  }
}

} // namespace

int RunRemovedQueue(CaseContext& aContext)
{
  const std::string job = "0a1b2c3d4e5f6071";
  const std::string other = "0a1b2c3d4e5f6072";
  Record& record = aContext.mRecord;
  Cell cell(record, aContext.mFolder, 3, { "a", "a" });
  cell.Configure(1, { "alpha", "beta" });
  if (!cell.AwaitReady()) {
    return kCouldNotRun;
  }
  Sleep(4);
  // Two steps of two tasks each; the second step follows the first.
  const std::string body =
    R"({"Spec":"ms=9000","Steps":[)"
    R"({"Replicas":2,"Cpu":500,"MemMb":256,"EstimateMs":9000},)"
    R"({"Replicas":2,"Cpu":500,"MemMb":256,"EstimateMs":9000,"After":[0]}]})";
  if (!cell.Submit("/beta/" + job, body)) {
    return kCouldNotRun;
  }
  Sleep(1);
  if (!cell.Runs().Running(job)) {
    return kCouldNotRun;
  }
  cell.Configure(2, { "alpha" });
  Sleep(kConfigApplySeconds + 1);
  if (aContext.mTrouble) {
    RollSchedulers(cell);
  }
  if (!cell.AwaitReady()) {
    return kCouldNotRun;
  }
  record.Write("all schedulers are ready; end of the planned work");
  const double calmFrom = record.Now();
  // The other queue is served: the system works.
  const std::string shortBody =
    R"({"Spec":"ms=500","Steps":[{"Replicas":1,"Cpu":500,"MemMb":256,"EstimateMs":500}]})";
  if (!cell.Submit("/alpha/" + other, shortBody)) {
    return kCouldNotRun;
  }
  // Waits until the job has had nothing running for long.
  const double judgeAt = calmFrom + kFinishSeconds + kIdleSeconds;
  while (record.Now() < judgeAt) {
    Sleep(0.1);
  }
  std::string answer;
  cell.Ask("GET", "/alpha/" + other, "", &answer);
  if (answer.find("completed") == std::string::npos) {
    return kCouldNotRun;
  }
  double lastEnd = 0;
  int secondStep = 0;
  int doneOfFirst = 0;
  for (const RunEvent& event : cell.Runs().Of(job)) {
    lastEnd = event.mWhat == "start" ? lastEnd : event.mAt;
    secondStep += event.mTask.starts_with(job + ".0.1.") ? 1 : 0;
    doneOfFirst +=
      event.mTask.starts_with(job + ".0.0.") && event.mWhat == "done" ? 1 : 0;
  }
  record.Write("judge: first step done " + std::to_string(doneOfFirst) +
               " of 2, events of the second step " +
               std::to_string(secondStep));
  if (secondStep > 0 || cell.Runs().Running(job)) {
    return kHeld;
  }
  const double idleFrom = std::max(lastEnd, calmFrom);
  record.Write("judge: the accepted job had nothing running for " +
               std::to_string(record.Now() - idleFrom) +
               " s while its second step could start on empty runners");
  return record.Now() - idleFrom > kFinishSeconds ? kBroken : kHeld;
}

} // namespace review
