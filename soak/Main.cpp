#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <iterator>

#include <boost/fiber/operations.hpp>

#include "soak/Callers.h"
#include "soak/ForeignWriter.h"
#include "soak/Injector.h"
#include "src/telemetry/Log.h"
#include "src/telemetry/Settings.h"

namespace foxtailbarrow::soak {

namespace {

constexpr unsigned kCallers = 6;
/// Before the first fault, so that there is something to lose.
constexpr Duration kWarmUp = std::chrono::milliseconds(2500);
/// After the last fault, until every promise about what must come has to be
/// kept: longer than leases, a takeover and the longest job together.
constexpr Duration kRecovery = std::chrono::seconds(25);
/// After the last fault, while serving tasks are still pressed.
constexpr Duration kCalmServing = std::chrono::seconds(15);
constexpr Duration kPoll = std::chrono::milliseconds(500);
/// Beyond these the addresses of links and workers would meet.
constexpr std::int64_t kMostWorkers = 30;

struct SoakSettings
{
  FleetSettings mFleet;
  std::int64_t mSeed = 1;
  Duration mLength = std::chrono::seconds(20);
  std::int64_t mWorkers = 5;
  std::int64_t mCrashingPercent = 0; ///< Of the jobs.
  std::int64_t mShrinking = 0;       ///< 1 = workers shrink and grow.
  std::int64_t mForeign = 0;         ///< 1 = another writer is there.
  std::int64_t mServing = 0;         ///< 1 = serving beside leftover tasks.
};

/// What a run leaves undone when the recovery is over.
std::vector<std::string> AwaitAll(const PromiseChecker& aChecker)
{
  const Instant end = MonotonicNow() + kRecovery;
  std::vector<std::string> missing = aChecker.Missing();
  while (!missing.empty() && MonotonicNow() < end) {
    boost::this_fiber::sleep_for(kPoll);
    missing = aChecker.Missing();
  }
  return missing;
}

bool Judge(const SoakSettings& aSettings,
           const PromiseChecker& aChecker,
           const std::vector<std::string>& aMissing)
{
  for (const std::string& broken : aChecker.Violations()) {
    std::cout << "broken: " << broken << '\n';
  }
  for (const std::string& missing : aMissing) {
    std::cout << "missing: " << missing << '\n';
  }
  if (aChecker.Accepted() == 0) {
    std::cout << "missing: no job was accepted\n";
  }
  const bool held = aChecker.Violations().empty() && aMissing.empty() &&
                    aChecker.Accepted() > 0;
  std::cout << "seed " << aSettings.mSeed << ": " << (held ? "held" : "FAILED")
            << ", " << aChecker.Accepted() << " jobs accepted, "
            << aChecker.Starts() << " starts, " << aChecker.OverTargets()
            << " times over a target for too long" << std::endl;
  return held;
}

std::vector<Fault> PlanOf(const SoakSettings& aSettings)
{
  const unsigned seed = aSettings.mFleet.mSeed;
  std::vector<Fault> faults = PlanFaults(seed, aSettings.mLength);
  if (aSettings.mShrinking != 0) {
    std::ranges::copy(PlanShrinking(seed, aSettings.mLength),
                      std::back_inserter(faults));
    std::ranges::sort(faults, {}, &Fault::mAt);
  }
  return faults;
}

bool Soak(net::FiberRuntime& aRuntime, const SoakSettings& aSettings)
{
  PromiseChecker book(standin::TaskWorkerSettings().mCapacity);
  auto fleet = Fleet::Start(aRuntime, aSettings.mFleet, book);
  if (!fleet.ok()) {
    std::cout << "not started: " << fleet.status() << std::endl;
    return false;
  }
  Callers callers(aRuntime,
                  **fleet,
                  book,
                  aSettings.mFleet.mSeed,
                  { .mCrashingPercent = aSettings.mCrashingPercent,
                    .mServing = aSettings.mServing != 0 });
  Injector injector(aRuntime, **fleet);
  ForeignWriter foreign(aRuntime, **fleet, aSettings.mFleet.mSeed);
  if (aSettings.mForeign != 0) {
    foreign.Start();
  }
  callers.Start(kCallers);
  boost::this_fiber::sleep_for(kWarmUp);
  const std::vector<Fault> plan = PlanOf(aSettings);
  book.SetFaultTimes({ plan, MonotonicNow(), aSettings.mWorkers });
  injector.InjectAll(plan);
  injector.EndAllFaults();
  foreign.Stop();
  callers.Stop();
  if (aSettings.mServing != 0) {
    boost::this_fiber::sleep_for(kCalmServing);
  }
  callers.StopBestEffort();
  const std::vector<std::string> missing = AwaitAll(book);
  callers.End();
  (*fleet)->KillAll();
  const bool held = Judge(aSettings, book, missing);
  // Fibers of callers and stand-ins still wait for calls: nothing of this
  // process is needed any more.
  std::_Exit(held ? EXIT_SUCCESS : EXIT_FAILURE);
}

} // namespace

} // namespace foxtailbarrow::soak

int main(int argc, char** argv)
{
  using namespace foxtailbarrow;
  soak::SoakSettings values;
  Settings settings("foxtailbarrow-soak",
                    "Runs a whole system under random faults, by seed");
  settings.AddText("--programs", values.mFleet.mPrograms, "Folder of programs")
    .Required();
  settings.AddText("--logs", values.mFleet.mLogs, "Folder for their output")
    .Required();
  settings.AddCount("--seed", values.mSeed, { 1, 1'000'000'000 }, "Of all");
  settings.AddMilliseconds("--length-ms",
                           values.mLength,
                           { std::chrono::seconds(1), std::chrono::hours(24) },
                           "Time with faults");
  settings.AddCount("--workers",
                    values.mWorkers,
                    { 1, soak::kMostWorkers },
                    "And as many agents");
  settings.AddCount("--crashing-percent",
                    values.mCrashingPercent,
                    { 0, 50 },
                    "Jobs whose task takes its worker down");
  settings.AddCount(
    "--shrinking", values.mShrinking, { 0, 1 }, "1: workers shrink and grow");
  settings.AddCount("--foreign",
                    values.mForeign,
                    { 0, 1 },
                    "1: another writer in the store and at the agents");
  settings.AddCount("--serving",
                    values.mServing,
                    { 0, 1 },
                    "1: serving tasks and leftover work that presses them");
  if (const auto code = settings.Parse(argc, argv)) {
    return *code;
  }
  values.mFleet.mSeed = static_cast<unsigned>(values.mSeed);
  values.mFleet.mWorkers = static_cast<unsigned>(values.mWorkers);
  net::FiberRuntime runtime(1);
  runtime.RunAndWait([&] { soak::Soak(runtime, values); });
  return EXIT_FAILURE;
}
