#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "bench/colocation/ColocationModel.h"

/// Prints the effect of each colocation policy on the service's tail latency,
/// batch work and evictions, for both deployments and several scenarios:
/// medians and ranges over seeds, in virtual time.
namespace {

using namespace foxtailbarrow;
using namespace foxtailbarrow::bench;

constexpr int kSeconds = 1800;
constexpr std::uint32_t kSeeds = 5;

struct NamedPolicy
{
  std::string mName;
  std::function<ColocationPolicy(const Deployment&)> mMake;
};

std::vector<NamedPolicy> Policies()
{
  return {
    { "none", [](const Deployment&) { return NoColocation{}; } },
    { "blind", [](const Deployment&) { return BlindColocation{}; } },
    { "static",
      [](const Deployment&) {
        StaticThreshold fixed;
        fixed.mLatency = std::chrono::milliseconds(60);
        return fixed;
      } },
    { "learned",
      [](const Deployment& aDeployment) {
        ColocationGuard guard;
        guard.SetLatencyWeight(aDeployment.mLatencyWeight);
        return guard;
      } },
  };
}

std::vector<Scenario> Scenarios()
{
  const auto few = [](double) { return 0.15; };
  return {
    { "steady", [](double) { return 0.5; }, few },
    { "rush",
      [](double aSecond) {
        return aSecond < 600 || aSecond > 1200 ? 0.3 : 0.95;
      },
      few },
    { "noisy-wave",
      [](double) { return 0.6; },
      [](double aSecond) {
        return aSecond > 500 && aSecond < 1000 ? 0.6 : 0.05;
      } },
  };
}

struct Spread
{
  double mMedian = 0.0;
  double mMin = 0.0;
  double mMax = 0.0;
};

Spread SpreadOf(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return { aValues[aValues.size() / 2], aValues.front(), aValues.back() };
}

void PrintRow(const Deployment& aDeployment,
              const Scenario& aScenario,
              const NamedPolicy& aPolicy)
{
  std::vector<double> p50;
  std::vector<double> p99;
  std::vector<double> p999;
  std::vector<double> work;
  std::vector<double> evictions;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ColocationModel model(
      aPolicy.mMake(aDeployment), aScenario, aDeployment, seed);
    const Outcome outcome = model.Run(kSeconds);
    p50.push_back(outcome.mP50Ms);
    p99.push_back(outcome.mP99Ms);
    p999.push_back(outcome.mP999Ms);
    work.push_back(outcome.mWorkDone / kSeconds);
    evictions.push_back(outcome.mEvictions);
  }
  const Spread tail = SpreadOf(p99);
  const Spread lost = SpreadOf(evictions);
  std::printf("%-9s %-11s %-8s %7.1f %7.1f (%.1f-%.1f) %8.1f %7.2f %6.0f "
              "(%.0f-%.0f)\n",
              aDeployment.mName.c_str(),
              aScenario.mName.c_str(),
              aPolicy.mName.c_str(),
              SpreadOf(p50).mMedian,
              tail.mMedian,
              tail.mMin,
              tail.mMax,
              SpreadOf(p999).mMedian,
              SpreadOf(work).mMedian,
              lost.mMedian,
              lost.mMin,
              lost.mMax);
}

} // namespace

int main()
{
  std::printf("%-9s %-11s %-8s %7s %7s %-13s %8s %7s %6s\n",
              "weights",
              "scenario",
              "policy",
              "p50 ms",
              "p99 ms",
              "(range)",
              "p99.9 ms",
              "tasks*",
              "evictions (range)");
  for (const Deployment& deployment : { Deployment{ "trasowka", 3.0, 1.0 },
                                        Deployment{ "qoima", 1.0, 3.0 } }) {
    for (const Scenario& scenario : Scenarios()) {
      for (const NamedPolicy& policy : Policies()) {
        PrintRow(deployment, scenario, policy);
      }
    }
  }
  std::printf("* batch work done, in tasks running at full speed on average\n");
  return 0;
}
