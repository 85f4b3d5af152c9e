/// The owner of the cell is killed while jobs with long Specs come in.

#include "Cases.h"
#include "Configuration.h"

namespace review {

namespace {

constexpr unsigned kRunners = kLargeOrdersRunners;
constexpr unsigned kJobs = 8;
constexpr int kReplicas = 75;
constexpr int kCpu = 200;
constexpr std::size_t kSpecBytes = 4000; // The longest that PROTOCOL.md allows.
constexpr Ms kBetweenJobs(200);
constexpr Ms kDown(3500); // Of the killed process, until it starts again.
constexpr std::chrono::seconds kFinish(14); // finish_s
constexpr std::chrono::seconds kIdle(3);    // Of the rule.

Json::Value Job()
{
  Json::Value step;
  step["Replicas"] = kReplicas;
  step["Cpu"] = kCpu;
  step["MemMb"] = 400;
  step["EstimateMs"] = 1500;
  Json::Value job;
  std::string spec = "work=1500 ";
  spec.resize(kSpecBytes, 'x');
  job["Spec"] = spec;
  job["Steps"].append(step);
  return job;
}

std::string Id(unsigned aJob)
{
  char id[17];
  std::snprintf(id, sizeof id, "7a90c3d1e25b%04x", aJob);
  return id;
}

} // namespace

int LargeOrders(Deployment& aDeployment,
                Runs& aRuns,
                Record& aRecord,
                bool aTrouble)
{
  if (!aDeployment.Start(OneQueue("snap-verify", "/snap/"))) {
    aRecord.Line("the deployment didn't start");
    return 2;
  }
  const int owner = aDeployment.OwnerIndex();
  const TimePoint killed = Now();
  if (aTrouble) {
    aRecord.Line("the owner, front " + std::to_string(owner) + ", is killed");
    aDeployment.Scheduler(static_cast<unsigned>(owner)).Kill();
  }
  for (unsigned job = 0; job < kJobs; ++job) {
    if (!aDeployment.Submit("/snap/" + Id(job), Job())) {
      aRecord.Line("a job wasn't accepted");
      return 2;
    }
    std::this_thread::sleep_for(kBetweenJobs);
  }
  if (aTrouble) {
    std::this_thread::sleep_until(killed + kDown);
    aDeployment.Scheduler(static_cast<unsigned>(owner)).Start();
    aRecord.Line("front " + std::to_string(owner) + " is started again");
  }
  std::this_thread::sleep_for(kFinish);
  const TimePoint from = Now();
  std::this_thread::sleep_for(kIdle);
  // Nothing else is submitted: the runners are empty but for these jobs.
  unsigned idle = 0;
  const bool underHalf =
    2 * kCpu * static_cast<std::int64_t>(aRuns.MostAtWork(from)) <
    64000 * static_cast<std::int64_t>(kRunners);
  for (unsigned job = 0; job < kJobs; ++job) {
    const HttpMessage answer =
      aDeployment.Request(job, "GET", "/snap/" + Id(job));
    const std::string state = Parse(answer.mBody)["State"].asString();
    const bool open = state != "completed";
    if (open && underHalf && !aRuns.AnyAtWork(Id(job), from)) {
      aRecord.Line("LOST " + Id(job) + " has had nothing running for 3 s, " +
                   std::to_string(aRuns.Starts(Id(job))) +
                   " starts in all, shown as " + state);
      ++idle;
    }
  }
  aRecord.Line(std::to_string(idle) + " of " + std::to_string(kJobs) +
               " accepted jobs stand still, " +
               std::to_string(aRuns.Twice().size()) + " breaches of TWICE");
  return idle > 0 ? 1 : 0;
}

} // namespace review
