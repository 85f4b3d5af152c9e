#include "soak/FaultPlan.h"

#include <algorithm>
#include <random>

#include "src/core/base/EnumText.h"

namespace foxtailbarrow::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKinds = 25;

constexpr EnumText<FaultKind, kKinds> kNames({
  { FaultKind::KillScheduler, "kill-scheduler" },
  { FaultKind::TermScheduler, "term-scheduler" },
  { FaultKind::PauseScheduler, "pause-scheduler" },
  { FaultKind::KillAgent, "kill-agent" },
  { FaultKind::TermAgent, "term-agent" },
  { FaultKind::PauseAgent, "pause-agent" },
  { FaultKind::KillAll, "kill-all" },
  { FaultKind::StoreSilent, "store-silent" },
  { FaultKind::StoreSilentLeasesPause, "store-silent-leases-pause" },
  { FaultKind::StoreRefuses, "store-refuses" },
  { FaultKind::StoreSlow, "store-slow" },
  { FaultKind::StoreLosesAnswers, "store-loses-answers" },
  { FaultKind::StoreWritesLate, "store-writes-late" },
  { FaultKind::StoreForgets, "store-forgets" },
  { FaultKind::StoreLink, "store-link" },
  { FaultKind::SchedulerLink, "scheduler-link" },
  { FaultKind::AgentLink, "agent-link" },
  { FaultKind::WorkerCrashes, "worker-crashes" },
  { FaultKind::WorkerLeaves, "worker-leaves" },
  { FaultKind::WorkerMute, "worker-mute" },
  { FaultKind::WorkerFailsAll, "worker-fails-all" },
  { FaultKind::WorkerLate, "worker-late" },
  { FaultKind::Configuration, "configuration" },
  { FaultKind::WorkerShrinks, "worker-shrinks" },
  { FaultKind::Cordon, "cordon" },
});

/// Kinds that PlanFaults() draws from: all but the last two.
constexpr int kPlannedKinds = 23;
/// Mean gap between two faults, and the range of their durations.
constexpr double kMeanGapMs = 900;
constexpr std::int64_t kMinDurationMs = 200;
constexpr std::int64_t kMaxDurationMs = 4500;

std::vector<Fault> Plan(std::mt19937& aRandom,
                        std::uniform_int_distribution<int> aKind,
                        Duration aLength)
{
  std::exponential_distribution<double> gap(1.0 / kMeanGapMs);
  std::uniform_int_distribution<std::int64_t> duration(kMinDurationMs,
                                                       kMaxDurationMs);
  std::vector<Fault> faults;
  Duration at = milliseconds(500);
  while (at < aLength) {
    Fault fault;
    fault.mAt = at;
    fault.mKind = static_cast<FaultKind>(aKind(aRandom));
    fault.mTarget = aRandom();
    fault.mVariant = aRandom();
    fault.mFor =
      std::min<Duration>(milliseconds(duration(aRandom)), aLength - at);
    faults.push_back(fault);
    at += milliseconds(static_cast<std::int64_t>(gap(aRandom)));
  }
  return faults;
}

} // namespace

std::string_view ToString(FaultKind aKind)
{
  return kNames.Text(aKind);
}

std::vector<Fault> PlanFaults(std::uint32_t aSeed, Duration aLength)
{
  std::mt19937 random(aSeed);
  return Plan(
    random, std::uniform_int_distribution<int>(0, kPlannedKinds - 1), aLength);
}

std::vector<Fault> PlanShrinking(std::uint32_t aSeed, Duration aLength)
{
  std::mt19937 random(aSeed);
  constexpr int kKind = static_cast<int>(FaultKind::WorkerShrinks);
  return Plan(
    random, std::uniform_int_distribution<int>(kKind, kKind), aLength);
}

std::vector<Fault> PlanCordons(std::uint32_t aSeed, Duration aLength)
{
  std::mt19937 random(aSeed);
  constexpr int kKind = static_cast<int>(FaultKind::Cordon);
  constexpr int kTimesLonger = 3;
  std::vector<Fault> cordons;
  for (Fault& fault : Plan(
         random, std::uniform_int_distribution<int>(kKind, kKind), aLength)) {
    // A third of them, so that some domains take starts most of the time.
    if (fault.mVariant % kTimesLonger == 0) {
      fault.mFor = std::min(kTimesLonger * fault.mFor, aLength - fault.mAt);
      cordons.push_back(fault);
    }
  }
  return cordons;
}

} // namespace foxtailbarrow::soak
