#include "Cases.h"
#include "Cell.h"

namespace review {

namespace {

constexpr double kFinishSeconds = 14.0;
constexpr double kIdleSeconds = 3.0;

} // namespace

int RunRackName(CaseContext& aContext)
{
  const std::string job = "6a1b2c3d4e5f6071";
  const std::string target = "/alpha/" + job;
  Record& record = aContext.mRecord;
  Cell cell(record, aContext.mFolder, 3, { "a", "a" });
  cell.Configure(1, { "alpha" });
  if (!cell.AwaitReady()) {
    return kCouldNotRun;
  }
  Sleep(4);
  const std::string rack = aContext.mTrouble ? "hall a/r3" : "r1-3";
  const std::string body =
    R"({"Spec":"ms=500","Steps":[{"Replicas":1,"Cpu":500,"MemMb":256,"EstimateMs":500,"Affinity":")" +
    rack + R"("}]})";
  // At a scheduler that does not own the cell.
  const std::size_t front = cell.Owner() == 0 ? 1 : 0;
  if (cell.Ask("POST", target, body, nullptr, front) != 200) {
    return kCouldNotRun;
  }
  Sleep(kFinishSeconds + kIdleSeconds);
  cell.Ask("GET", target);
  const auto events = cell.Runs().Of(job);
  record.Write("judge: events of the job: " + std::to_string(events.size()));
  if (events.empty()) {
    cell.Ask("DELETE", target); // Not judged.
  }
  return events.empty() ? kBroken : kHeld;
}

} // namespace review
