/// The platform's store is down while runners list more than 500 ends.

#include "Cases.h"
#include "Configuration.h"

namespace review {

namespace {

constexpr unsigned kJobs = 96;
constexpr int kReplicas = 36;
constexpr Ms kOutage(4500); // As qoima-ala.toml has it.
constexpr std::chrono::seconds kFinish(45);

Json::Value Job()
{
  Json::Value step;
  step["Replicas"] = kReplicas;
  step["Cpu"] = 960;
  step["MemMb"] = 1900;
  step["EstimateMs"] = 400;
  Json::Value job;
  job["Spec"] = "work=400";
  job["Steps"].append(step);
  return job;
}

std::string Target(unsigned aJob)
{
  char id[17];
  std::snprintf(id, sizeof id, "5c0e7a21d94b%04x", aJob);
  return std::string("/snap/") + id;
}

} // namespace

int ManyEnds(Deployment& aDeployment,
             Runs& aRuns,
             Record& aRecord,
             bool aTrouble)
{
  if (!aDeployment.Start(OneQueue("snap-verify", "/snap/"))) {
    aRecord.Line("the deployment didn't start");
    return 2;
  }
  for (unsigned job = 0; job < kJobs; ++job) {
    if (!aDeployment.Submit(Target(job), Job())) {
      aRecord.Line("a job wasn't accepted");
      return 2;
    }
  }
  if (aTrouble) {
    aRecord.Line("store down");
    aDeployment.PlatformStore().SetDown(true);
    std::this_thread::sleep_for(kOutage);
    aDeployment.PlatformStore().SetDown(false);
    aRecord.Line("store up");
  }
  unsigned completed = 0;
  const TimePoint end = Now() + kFinish;
  while (completed < kJobs && Now() < end) {
    std::this_thread::sleep_for(Ms(1000));
    completed = 0;
    for (unsigned job = 0; job < kJobs; ++job) {
      const HttpMessage answer = aDeployment.Request(job, "GET", Target(job));
      completed += Parse(answer.mBody)["State"].asString() == "completed";
    }
  }
  std::this_thread::sleep_for(Ms(1000));
  const std::vector<std::string> breaches = aRuns.Twice();
  for (const std::string& breach : breaches) {
    aRecord.Line("TWICE " + breach);
  }
  aRecord.Line(std::to_string(completed) + " of " + std::to_string(kJobs) +
               " jobs completed, " + std::to_string(breaches.size()) +
               " breaches of TWICE");
  if (!breaches.empty()) {
    return 1;
  }
  return completed == kJobs ? 0 : 2;
}

} // namespace review
