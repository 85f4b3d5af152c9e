#include <algorithm>
#include <map>

#include "Cases.h"
#include "Cell.h"

namespace review {

namespace {

constexpr double kUpBefore = 0.3;  ///< From the gang's start to the crash.
constexpr double kDownSeconds = 1; ///< srv_crash of the site file: 4.5.
constexpr double kFinishSeconds = 14.0;
constexpr double kIdleSeconds = 3.0;

} // namespace

int RunGangAfterCrash(CaseContext& aContext)
{
  const std::string gang = "7a1b2c3d4e5f6071";
  const std::string other = "7a1b2c3d4e5f6072";
  Record& record = aContext.mRecord;
  Cell cell(record, aContext.mFolder, 3, { "a", "a", "a", "a" });
  cell.Configure(1, { "alpha" });
  if (!cell.AwaitReady()) {
    return kCouldNotRun;
  }
  Sleep(4);
  // 24 members of 0.3 cores need 7.2 of 32 cores.
  const std::string body =
    R"({"Spec":"gang=24 ms=2000","Steps":[)"
    R"({"Replicas":24,"Cpu":300,"MemMb":100,"EstimateMs":2000,"Gang":true}]})";
  if (!cell.Submit("/alpha/" + gang, body)) {
    return kCouldNotRun;
  }
  while (!cell.Runs().Running(gang)) {
    Sleep(0.01);
  }
  Sleep(kUpBefore);
  if (aContext.mTrouble) {
    cell.CrashRunner(0, kDownSeconds);
  }
  Sleep(3);
  // Another gang: the system works.
  if (!cell.Submit("/alpha/" + other, body)) {
    return kCouldNotRun;
  }
  const double acceptedAt = record.Now();
  Sleep(kFinishSeconds + kIdleSeconds);
  std::string answer;
  cell.Ask("GET", "/alpha/" + other, "", &answer);
  if (answer.find("completed") == std::string::npos) {
    return kCouldNotRun;
  }
  cell.Ask("GET", "/alpha/" + gang, "", &answer);
  double lastEvent = 0;
  int done = 0;
  for (const RunEvent& event : cell.Runs().Of(gang)) {
    lastEvent = std::max(lastEvent, event.mAt);
    done += event.mWhat == "done" ? 1 : 0;
  }
  const double idle = record.Now() - std::max(lastEvent, acceptedAt);
  record.Write("judge: members of the gang that ended done: " +
               std::to_string(done) + "; nothing of it ran for the last " +
               std::to_string(idle) + " s; last answer " + answer);
  return done == 0 && !cell.Runs().Running(gang) && idle > kFinishSeconds
           ? kBroken
           : kHeld;
}

} // namespace review
