#include <algorithm>
#include <chrono>

#include "Cases.h"
#include "Cell.h"

namespace review {

namespace {

constexpr std::int64_t kSchedulerMemoryMb = 260;
constexpr double kFinishSeconds = 14.0;
constexpr double kIdleSeconds = 3.0;
constexpr int kMinuteMs = 60'000;
constexpr int kMinutesOfWeek = 7 * 24 * 60;

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

int RunRepeatedJob(CaseContext& aContext)
{
  const std::string repeated = "3a1b2c3d4e5f6071";
  const std::string other = "3a1b2c3d4e5f6072";
  Record& record = aContext.mRecord;
  Cell cell(record, aContext.mFolder, 3, { "a", "a" });
  cell.EnforceMemory(kSchedulerMemoryMb);
  cell.Configure(1, { "alpha" });
  if (!cell.AwaitReady()) {
    return kCouldNotRun;
  }
  Sleep(4);
  const int repeats = aContext.mTrouble ? std::min(kMinutesOfWeek, 10'000) : 10;
  const std::string body =
    R"({"Spec":"ms=500","Repeats":)" + std::to_string(repeats) +
    R"(,"StartMs":)" + std::to_string(UnixMs() + 1000) + R"(,"IntervalMs":)" +
    std::to_string(kMinuteMs) +
    R"(,"Steps":[{"Replicas":36,"Cpu":100,"MemMb":64,"EstimateMs":500},)"
    R"({"Replicas":36,"Cpu":100,"MemMb":64,"EstimateMs":500,"After":[0]},)"
    R"({"Replicas":36,"Cpu":100,"MemMb":64,"EstimateMs":500,"After":[1]}]})";
  if (!cell.Submit("/alpha/" + repeated, body)) {
    return kCouldNotRun;
  }
  Sleep(4);
  const std::string shortBody =
    R"({"Spec":"ms=500","Steps":[{"Replicas":1,"Cpu":500,"MemMb":256,"EstimateMs":500}]})";
  if (!cell.Submit("/alpha/" + other, shortBody)) {
    return kCouldNotRun;
  }
  const double acceptedAt = record.Now();
  Sleep(kFinishSeconds + kIdleSeconds);
  std::string answer;
  for (std::size_t i = 0; i < cell.Schedulers(); ++i) {
    cell.Ask("GET", "/alpha/" + other, "", &answer, i);
  }
  const auto events = cell.Runs().Of(other);
  std::string kills;
  for (const int count : cell.MemoryKills()) {
    kills += " " + std::to_string(count);
  }
  record.Write("judge: schedulers killed for their memory:" + kills +
               "; events of the other job in " +
               std::to_string(record.Now() - acceptedAt) + " s: " +
               std::to_string(events.size()) + ", last answer " + answer);
  const bool broken = events.empty();
  if (broken) {
    // Not judged: whether cancelling the repeated job helps.
    for (std::size_t i = 0; i < cell.Schedulers(); ++i) {
      cell.Ask("DELETE", "/alpha/" + repeated, "", nullptr, i);
    }
    Sleep(8);
    record.Write("after the cancelling: events of the other job: " +
                 std::to_string(cell.Runs().Of(other).size()));
  }
  return broken ? kBroken : kHeld;
}

} // namespace review
