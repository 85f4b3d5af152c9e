#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <iterator>

#include <boost/fiber/operations.hpp>

#include "soak/Callers.h"
#include "soak/CrashOutage.h"
#include "soak/ForeignWriter.h"
#include "soak/Injector.h"
#include "src/telemetry/Log.h"
#include "src/telemetry/Settings.h"

namespace foxtailbarrow::soak {

namespace {

constexpr unsigned kCallers = 6;
/// Time before the first fault, so that jobs are running when it begins.
constexpr Duration kWarmUp = std::chrono::milliseconds(2500);
/// Time after the last fault by which everything that must happen has happened:
/// longer than leases, a takeover and the longest job together.
constexpr Duration kRecovery = std::chrono::seconds(25);
/// Time after the last fault in which best-effort jobs are still submitted.
constexpr Duration kFaultFreeServing = std::chrono::seconds(15);
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
/// With more workers, the addresses of links and workers would collide.
constexpr std::int64_t kMaxWorkers = 30;

struct SoakSettings
{
  FleetSettings mFleet;
  std::int64_t mSeed = 1;
  Duration mLength = std::chrono::seconds(20);
  std::int64_t mWorkers = 5;
  std::int64_t mCrashingPercent = 0; ///< Of the jobs.
  std::int64_t mCrashOutage = 0;     ///< An OutageStart.
  std::int64_t mShrinking = 0;       ///< 1 = workers shrink and grow.
  std::int64_t mForeign = 0;         ///< 1 = a foreign writer runs.
  std::int64_t mServing = 0;         ///< 1 = serving and best-effort tasks.
  std::int64_t mKeptIdPercent = 0;   ///< Of the restarts of workers.
  std::int64_t mCordons = 0;         ///< 1 = failure domains are cordoned.
};

/// Waits until nothing is missing; returns what is at the end of the recovery.
std::vector<std::string> AwaitAll(const PromiseChecker& aChecker)
{
  const Instant end = MonotonicNow() + kRecovery;
  std::vector<std::string> missing = aChecker.Missing();
  while (!missing.empty() && MonotonicNow() < end) {
    boost::this_fiber::sleep_for(kPollInterval);
    missing = aChecker.Missing();
  }
  return missing;
}

bool ReportResult(const SoakSettings& aSettings,
                  const PromiseChecker& aChecker,
                  const std::vector<std::string>& aMissing)
{
  for (const std::string& violation : aChecker.Violations()) {
    std::cout << "broken: " << violation << '\n';
  }
  for (const std::string& missing : aMissing) {
    std::cout << "missing: " << missing << '\n';
  }
  if (aChecker.Accepted() == 0) {
    std::cout << "missing: no job was accepted\n";
  }
  const bool passed = aChecker.Violations().empty() && aMissing.empty() &&
                      aChecker.Accepted() > 0;
  std::cout << "seed " << aSettings.mSeed << ": "
            << (passed ? "held" : "FAILED") << ", " << aChecker.Accepted()
            << " jobs accepted, " << aChecker.Starts() << " starts, "
            << aChecker.OverTargets() << " times over a target for too long"
            << std::endl;
  return passed;
}

std::vector<Fault> MakePlan(const SoakSettings& aSettings)
{
  const unsigned seed = aSettings.mFleet.mSeed;
  std::vector<Fault> faults = PlanFaults(seed, aSettings.mLength);
  if (aSettings.mShrinking != 0) {
    std::ranges::copy(PlanShrinking(seed, aSettings.mLength),
                      std::back_inserter(faults));
    std::ranges::sort(faults, {}, &Fault::mAt);
  }
  if (aSettings.mCordons != 0) {
    std::ranges::copy(PlanCordons(seed, aSettings.mLength),
                      std::back_inserter(faults));
    std::ranges::sort(faults, {}, &Fault::mAt);
  }
  return faults;
}

bool Soak(net::FiberRuntime& aRuntime, const SoakSettings& aSettings)
{
  PromiseChecker checker(standin::TaskWorkerSettings().mCapacity);
  auto fleet = Fleet::Start(aRuntime, aSettings.mFleet, checker);
  if (!fleet.ok()) {
    std::cout << "not started: " << fleet.status() << std::endl;
    return false;
  }
  Callers callers(aRuntime,
                  **fleet,
                  checker,
                  aSettings.mFleet.mSeed,
                  { .mCrashingPercent = aSettings.mCrashingPercent,
                    .mServing = aSettings.mServing != 0 });
  Injector injector(aRuntime, **fleet, checker, aSettings.mKeptIdPercent);
  ForeignWriter foreign(aRuntime, **fleet, aSettings.mFleet.mSeed);
  if (aSettings.mForeign != 0) {
    foreign.Start();
  }
  CrashOutage crashOutage(aRuntime, **fleet, aSettings.mFleet.mSeed);
  if (aSettings.mCrashOutage != 0) {
    crashOutage.Start(static_cast<OutageStart>(aSettings.mCrashOutage));
  }
  callers.Start(kCallers);
  boost::this_fiber::sleep_for(kWarmUp);
  const std::vector<Fault> plan = MakePlan(aSettings);
  checker.SetFaultTimeline({ plan, MonotonicNow(), aSettings.mWorkers });
  injector.InjectAll(plan);
  crashOutage.Stop();
  injector.EndAllFaults();
  foreign.Stop();
  callers.Stop();
  if (aSettings.mServing != 0) {
    boost::this_fiber::sleep_for(kFaultFreeServing);
  }
  callers.StopBestEffort();
  const std::vector<std::string> missing = AwaitAll(checker);
  callers.End();
  (*fleet)->KillAll();
  const bool passed = ReportResult(aSettings, checker, missing);
  // Exits without unwinding, as fibers of callers and stand-ins still wait for
  // calls.
  std::_Exit(passed ? EXIT_SUCCESS : EXIT_FAILURE);
}

} // namespace

} // namespace foxtailbarrow::soak

int main(int argc, char** argv)
{
  using namespace foxtailbarrow;
  soak::SoakSettings values;
  Settings settings("foxtailbarrow-soak",
                    "Runs a whole system under seeded random faults");
  settings.AddText("--programs", values.mFleet.mPrograms, "Folder of programs")
    .Required();
  settings
    .AddText("--logs", values.mFleet.mLogs, "Folder for the programs' logs")
    .Required();
  settings.AddCount(
    "--seed", values.mSeed, { 1, 1'000'000'000 }, "Seed of the random numbers");
  settings.AddMilliseconds("--length-ms",
                           values.mLength,
                           { std::chrono::seconds(1), std::chrono::hours(24) },
                           "Duration of the fault injection");
  settings.AddCount("--workers",
                    values.mWorkers,
                    { 1, soak::kMaxWorkers },
                    "Workers, each with an agent");
  settings.AddCount("--crashing-percent",
                    values.mCrashingPercent,
                    { 0, 50 },
                    "Jobs whose task crashes its worker");
  settings.AddCount("--crash-outage",
                    values.mCrashOutage,
                    { 0, 2 },
                    "1: store outages and power losses after crashes, 2: at "
                    "starts of crashing tasks");
  settings.AddCount("--shrinking",
                    values.mShrinking,
                    { 0, 1 },
                    "1: workers change their capacity");
  settings.AddCount("--foreign",
                    values.mForeign,
                    { 0, 1 },
                    "1: a foreign writer in the store and at the agents");
  settings.AddCount("--serving",
                    values.mServing,
                    { 0, 1 },
                    "1: serving tasks and best-effort tasks that interfere");
  settings.AddCount("--kept-id-percent",
                    values.mKeptIdPercent,
                    { 0, 100 },
                    "Restarts of workers under the id that they had");
  settings.AddCount("--cordons",
                    values.mCordons,
                    { 0, 1 },
                    "1: the operator cordons failure domains");
  if (const auto code = settings.Parse(argc, argv)) {
    return *code;
  }
  values.mFleet.mSeed = static_cast<unsigned>(values.mSeed);
  values.mFleet.mWorkers = static_cast<unsigned>(values.mWorkers);
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] { soak::Soak(runtime, values); });
  return EXIT_FAILURE;
}
