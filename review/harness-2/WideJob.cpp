#include "Cases.h"
#include "Cell.h"

namespace review {

namespace {

constexpr std::int64_t kCpu = 64'000;
constexpr std::int64_t kMemMb = 256'000;
constexpr std::size_t kLongestSpec = 4000;
constexpr std::size_t kShortSpec = 100;
constexpr double kFinishSeconds = 14.0;
constexpr double kIdleSeconds = 3.0;

std::string Spec(std::size_t aBytes)
{
  std::string spec = "ms=500 ";
  spec.resize(aBytes, 'x');
  return spec;
}

} // namespace

int RunWideJob(CaseContext& aContext)
{
  const std::string wide = "4a1b2c3d4e5f6071";
  const std::string other = "4a1b2c3d4e5f6072";
  Record& record = aContext.mRecord;
  Cell cell(record, aContext.mFolder, 3, { "a", "a" }, kCpu, kMemMb);
  cell.Configure(1, { "alpha" });
  if (!cell.AwaitReady()) {
    return kCouldNotRun;
  }
  Sleep(4);
  // 600 tasks of 0.1 cores need 60 of 128 cores.
  const std::string body =
    R"({"Spec":")" + Spec(aContext.mTrouble ? kLongestSpec : kShortSpec) +
    R"(","Steps":[{"Replicas":600,"Cpu":100,"MemMb":100,"EstimateMs":500}]})";
  if (!cell.Submit("/alpha/" + wide, body)) {
    return kCouldNotRun;
  }
  Sleep(2);
  const std::string shortBody =
    R"({"Spec":"ms=500","Steps":[{"Replicas":1,"Cpu":500,"MemMb":256,"EstimateMs":500}]})";
  if (!cell.Submit("/alpha/" + other, shortBody)) {
    return kCouldNotRun;
  }
  const double acceptedAt = record.Now();
  Sleep(kFinishSeconds + kIdleSeconds);
  std::string answer;
  cell.Ask("GET", "/alpha/" + wide, "", &answer);
  const auto events = cell.Runs().Of(wide);
  record.Write("judge: in " + std::to_string(record.Now() - acceptedAt) +
               " s: events of the wide job " + std::to_string(events.size()) +
               ", last answer " + answer + "; events of the other job " +
               std::to_string(cell.Runs().Of(other).size()));
  return events.empty() ? kBroken : kHeld;
}

} // namespace review
