#include "Cases.h"
#include "Cell.h"

namespace review {

namespace {

constexpr double kCancelSeconds = 3.0;
constexpr double kContactSeconds = 3.0;
constexpr int kLateMs = 6000; ///< The longest that the pages name.
constexpr double kWatched = 16.0;

} // namespace

int RunLateSubmission(CaseContext& aContext)
{
  const std::string job = "1a1b2c3d4e5f6071";
  const std::string target = "/alpha/" + job;
  Record& record = aContext.mRecord;
  Cell cell(record, aContext.mFolder, 3, { "a", "a" });
  cell.Configure(1, { "alpha" });
  if (!cell.AwaitReady()) {
    return kCouldNotRun;
  }
  Sleep(4);
  const std::string body =
    R"({"Spec":"ms=4000","Steps":[{"Replicas":2,"Cpu":500,"MemMb":256,"EstimateMs":4000}]})";
  // A job that nobody cancels: the system works.
  if (!cell.Submit("/alpha/1a1b2c3d4e5f6072", body)) {
    return kCouldNotRun;
  }
  Sleep(1);
  if (!cell.Runs().Running("1a1b2c3d4e5f6072")) {
    return kCouldNotRun;
  }
  if (aContext.mTrouble) {
    cell.PlatformStore().LoseCreationOf("foxtailbarrow/j/" + job, kLateMs);
  }
  const int submitted = cell.Ask("POST", target, body);
  const double disruptedUntil = record.Now();
  // The client gives the job up and cancels it until that is acknowledged.
  int cancelled = 0;
  while (cancelled != 200 && cancelled != 410) {
    if (record.Now() > disruptedUntil + 4) {
      return kCouldNotRun; // The cancelling was not acknowledged in time.
    }
    cancelled = cell.Ask("DELETE", target);
    Sleep(cancelled == 200 || cancelled == 410 ? 0 : 0.2);
  }
  const double acknowledgedAt = record.Now();
  record.Write("judge: submission answered " + std::to_string(submitted) +
               ", cancelling acknowledged with " + std::to_string(cancelled));
  while (record.Now() < acknowledgedAt + kWatched) {
    Sleep(2);
    cell.Ask("GET", target);
  }
  bool broken = false;
  for (const RunEvent& event : cell.Runs().Of(job)) {
    const bool late = event.mAt > acknowledgedAt + kCancelSeconds &&
                      event.mAt > disruptedUntil + kContactSeconds;
    if (event.mWhat == "start" && late) {
      record.Write("judge: " + event.mTask + " started " +
                   std::to_string(event.mAt - acknowledgedAt) +
                   " s after its job's cancelling was acknowledged, " +
                   std::to_string(event.mAt - disruptedUntil) +
                   " s after the end of the disruption");
      broken = true;
    }
  }
  return broken ? kBroken : kHeld;
}

} // namespace review
