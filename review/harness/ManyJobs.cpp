/// The owner of the cell is killed when many jobs wait for their time.

#include "Cases.h"
#include "Configuration.h"

namespace review {

namespace {

constexpr double kCpuQuota = 0.25; // Of a front machine.
constexpr unsigned kJobs = 7000;
constexpr double kJobsPerSecond = 125;
constexpr unsigned kClients = 16;
constexpr std::size_t kSpecBytes = 4000; // The longest that PROTOCOL.md allows.
constexpr unsigned kLastJobs = 5;
constexpr Ms kDown(3500);                   // As qoima-ala.toml has it.
constexpr std::chrono::seconds kFinish(14); // finish_s
constexpr std::chrono::seconds kIdle(3);    // Of the rule.

std::string Spec(unsigned aWorkMs)
{
  std::string spec = "work=" + std::to_string(aWorkMs) + " ";
  spec.resize(kSpecBytes, 'x');
  return spec;
}

Json::Value Step(unsigned aReplicas, unsigned aWorkMs)
{
  Json::Value step;
  step["Replicas"] = aReplicas;
  step["Cpu"] = 960;
  step["MemMb"] = 1900;
  step["EstimateMs"] = aWorkMs;
  return step;
}

/// A job that is due in an hour: four steps in a row.
Json::Value TimedJob()
{
  constexpr unsigned kSteps = 4;
  constexpr unsigned kReplicas = 6;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  Json::Value job;
  job["Spec"] = Spec(200);
  job["Repeats"] = 1;
  job["IntervalMs"] = 3'600'000;
  job["StartMs"] = Json::Int64{
    std::chrono::duration_cast<Ms>(now + std::chrono::hours(1)).count()
  };
  for (unsigned number = 0; number < kSteps; ++number) {
    Json::Value step = Step(kReplicas, 200);
    if (number > 0) {
      step["After"].append(number - 1);
    }
    job["Steps"].append(step);
  }
  return job;
}

Json::Value JobAtOnce()
{
  Json::Value job;
  job["Spec"] = Spec(200);
  job["Steps"].append(Step(1, 200));
  return job;
}

/// RESTART_MS changes after which time the killed process starts again.
Ms Down()
{
  const char* time = std::getenv("RESTART_MS");
  return time == nullptr ? kDown : Ms(std::atoll(time));
}

std::string Id(unsigned aJob)
{
  char id[17];
  std::snprintf(id, sizeof id, "91f4c3d1%08x", aJob);
  return id;
}

/// Returns how many jobs were accepted.
unsigned SubmitAll(Deployment& aDeployment)
{
  std::atomic<unsigned> next{ 0 };
  std::atomic<unsigned> accepted{ 0 };
  const TimePoint begin = Now();
  std::vector<std::thread> clients;
  for (unsigned client = 0; client < kClients; ++client) {
    clients.emplace_back([&] {
      for (unsigned job = next++; job < kJobs; job = next++) {
        std::this_thread::sleep_until(
          begin + std::chrono::duration_cast<Ms>(
                    std::chrono::duration<double>(job / kJobsPerSecond)));
        accepted += aDeployment.Submit("/snap/" + Id(job), TimedJob()) ? 1 : 0;
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  return accepted;
}

} // namespace

int ManyJobs(Deployment& aDeployment,
             Runs& aRuns,
             Record& aRecord,
             bool aTrouble)
{
  if (!aDeployment.Start(OneQueue("snap-verify", "/snap/"))) {
    aRecord.Line("the deployment didn't start");
    return 2;
  }
  for (unsigned i = 0; i < Deployment::kSchedulers; ++i) {
    aDeployment.Scheduler(i).Limit(kCpuQuota);
  }
  const unsigned accepted = SubmitAll(aDeployment);
  aRecord.Line(std::to_string(accepted) + " of " + std::to_string(kJobs) +
               " timed jobs accepted");
  const int owner = aDeployment.OwnerIndex();
  const TimePoint killed = Now();
  const auto start = [&] {
    std::this_thread::sleep_until(killed + Down());
    aDeployment.Scheduler(static_cast<unsigned>(owner)).Start();
    aRecord.Line("front " + std::to_string(owner) + " is started again");
  };
  const bool startsAtOnce = Down() < Ms(1000);
  if (aTrouble) {
    aRecord.Line("the owner, front " + std::to_string(owner) + ", is killed");
    aDeployment.Scheduler(static_cast<unsigned>(owner)).Kill();
  }
  if (aTrouble && startsAtOnce) {
    start();
  }
  unsigned lastAccepted = 0;
  for (unsigned job = kJobs; job < kJobs + kLastJobs; ++job) {
    lastAccepted += aDeployment.Submit("/snap/" + Id(job), JobAtOnce()) ? 1 : 0;
  }
  std::this_thread::sleep_until(killed + kDown);
  if (aTrouble && !startsAtOnce) {
    start();
  }
  std::this_thread::sleep_for(kFinish);
  const TimePoint from = Now();
  std::this_thread::sleep_for(kIdle);
  const std::size_t atWork = aRuns.MostAtWork(from);
  for (unsigned i = 0; i < Deployment::kSchedulers; ++i) {
    const std::string end = aDeployment.Scheduler(i).OwnEnd();
    if (!end.empty()) {
      aRecord.Line("front " + std::to_string(i) + " has ended by itself, " +
                   end);
    }
  }
  std::atomic<unsigned> idle{ 0 };
  std::vector<std::thread> clients;
  for (unsigned job = kJobs; job < kJobs + kLastJobs; ++job) {
    clients.emplace_back([&, job] {
      const HttpMessage answer =
        aDeployment.Request(job, "GET", "/snap/" + Id(job));
      const std::string state = Parse(answer.mBody)["State"].asString();
      if (state != "completed" && atWork == 0) {
        aRecord.Line("LOST " + Id(job) + " has had nothing running for 3 s, " +
                     std::to_string(aRuns.Starts(Id(job))) +
                     " starts in all, shown as " + state);
        ++idle;
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  aRecord.Line(std::to_string(idle) + " of " + std::to_string(lastAccepted) +
               " jobs that were accepted last stand still, " +
               std::to_string(atWork) + " tasks at work");
  if (accepted < kJobs || lastAccepted < kLastJobs) {
    return 2;
  }
  return idle > 0 ? 1 : 0;
}

} // namespace review
