#include "Cases.h"
#include "Cell.h"

namespace review {

namespace {

constexpr double kFinishSeconds = 14.0;
constexpr double kIdleSeconds = 3.0;

} // namespace

int RunForeignHeartbeat(CaseContext& aContext)
{
  const std::string first = "2a1b2c3d4e5f6071";
  const std::string second = "2a1b2c3d4e5f6072";
  Record& record = aContext.mRecord;
  Cell cell(record, aContext.mFolder, 3, { "a", "b" });
  cell.Configure(1, { "alpha" });
  if (!cell.AwaitReady()) {
    return kCouldNotRun;
  }
  Sleep(4);
  const std::string body =
    R"({"Spec":"ms=500","Steps":[{"Replicas":1,"Cpu":500,"MemMb":256,"EstimateMs":500,"Requires":"b"}]})";
  if (!cell.Submit("/alpha/" + first, body)) {
    return kCouldNotRun;
  }
  Sleep(3);
  std::string answer;
  cell.Ask("GET", "/alpha/" + first, "", &answer);
  if (answer.find("completed") == std::string::npos) {
    return kCouldNotRun;
  }
  if (aContext.mTrouble) {
    // Addr, Version, Slots, ColdLeftMs, Labels and ClockMs are missing.
    const RunnerSettings& runner = cell.RunnerAt(1).Settings();
    const std::string foreign =
      R"({"Service":")" + runner.mService + R"(","Zone":")" + runner.mZone +
      R"(","State":"ready","CallSeq":5000,"Capacity":{"Cpu":8000,"MemMb":16000,"Gpu":0}})";
    const auto response = Call(
      runner.mControl, "PUT", "/runners/" + runner.mId, "other", foreign, 1000);
    record.Write("another writer: PUT /runners/" + runner.mId + " " + foreign +
                 " -> " +
                 (response ? std::to_string(response->mStatus) : "no answer"));
  }
  Sleep(4);
  if (!cell.Submit("/alpha/" + second, body)) {
    return kCouldNotRun;
  }
  const double acceptedAt = record.Now();
  while (record.Now() < acceptedAt + kFinishSeconds + kIdleSeconds) {
    Sleep(1);
  }
  cell.Ask("GET", "/alpha/" + second, "", &answer);
  const auto events = cell.Runs().Of(second);
  record.Write("judge: runs of the job in " +
               std::to_string(record.Now() - acceptedAt) +
               " s since it was accepted: " + std::to_string(events.size()) +
               " events, last answer " + answer);
  return events.empty() ? kBroken : kHeld;
}

} // namespace review
