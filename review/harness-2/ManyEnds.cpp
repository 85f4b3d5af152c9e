#include <map>

#include "Cases.h"
#include "Cell.h"

namespace review {

namespace {

constexpr std::int64_t kCpu = 64'000;
constexpr std::int64_t kMemMb = 256'000;
/// The site file has 4.5. Short enough that no lease lapses.
constexpr double kSilentSeconds = 3.5;
constexpr double kLongest = 45.0;
constexpr int kJobs = 80;

std::string JobName(int aIndex)
{
  return "5a1b2c3d4e5f" + std::to_string(1000 + aIndex);
}

} // namespace

int RunManyEnds(CaseContext& aContext)
{
  Record& record = aContext.mRecord;
  Cell cell(record, aContext.mFolder, 3, { "a", "a" }, kCpu, kMemMb);
  cell.Configure(1, { "alpha" });
  if (!cell.AwaitReady()) {
    return kCouldNotRun;
  }
  Sleep(4);
  // 188 tasks at a time on each runner.
  const std::string body =
    R"({"Spec":"ms=800","Steps":[)"
    R"({"Replicas":36,"Cpu":340,"MemMb":500,"EstimateMs":800}]})";
  for (int i = 0; i < kJobs; ++i) {
    if (!cell.Submit("/alpha/" + JobName(i), body)) {
      return kCouldNotRun;
    }
  }
  Sleep(1);
  if (aContext.mTrouble) {
    cell.PlatformStore().GoSilent(kSilentSeconds);
  }
  const double end = record.Now() + kLongest;
  for (int i = 0; i < kJobs && record.Now() < end;) {
    std::string answer;
    cell.Ask("GET", "/alpha/" + JobName(i), "", &answer);
    if (answer.find("completed") != std::string::npos) {
      ++i;
    } else {
      Sleep(2);
    }
  }
  // Starts after an end `done` that was acknowledged then or later.
  std::map<std::string, RunEvent> done;
  int again = 0;
  for (const RunEvent& event : cell.Runs().Of("")) {
    const auto found = done.find(event.mTask);
    if (event.mWhat == "done") {
      done.insert({ event.mTask, event });
    } else if (event.mWhat == "start" && found != done.end() &&
               cell.Runs().Acknowledged(event.mTask, found->second.mRun)) {
      if (again++ < 10) {
        record.Write("judge: " + event.mTask + " run " +
                     std::to_string(found->second.mRun) + " ended done on " +
                     found->second.mRunner + " at " +
                     std::to_string(found->second.mAt) + ", run " +
                     std::to_string(event.mRun) + " started on " +
                     event.mRunner + " at " + std::to_string(event.mAt));
      }
    }
  }
  record.Write("judge: " + std::to_string(done.size()) +
               " tasks ended done; starts after such an end that was taken "
               "note of: " +
               std::to_string(again));
  return again > 0 ? kBroken : done.empty() ? kCouldNotRun : kHeld;
}

} // namespace review
