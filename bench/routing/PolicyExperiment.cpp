// Compares routing policies in virtual time. Prints a table with the median
// and, in brackets, the range over seeds.
//
// Usage: bench-routing-PolicyExperiment [policies|margins|keyed] [seeds]

#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "bench/routing/Run.h"

namespace foxtailbarrow::bench {
namespace {

constexpr int kSeeds = 7;

/// The values of one metric for all seeds.
class Spread
{
public:
  void Add(double aValue) { mValues.push_back(aValue); }

  void Print(int aDigits)
  {
    std::sort(mValues.begin(), mValues.end());
    std::printf(" | %.*f [%.*f-%.*f]",
                aDigits,
                mValues[mValues.size() / 2],
                aDigits,
                mValues.front(),
                aDigits,
                mValues.back());
  }

private:
  std::vector<double> mValues;
};

double PerThousand(std::size_t aPart, std::size_t aWhole)
{
  return aWhole == 0
           ? 0.0
           : 1000.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
}

void PrintHeader()
{
  std::printf(
    "\n| scenario | delay ms | sigma | policy | p50 ms | p99 ms | p99.9 ms | "
    "refused /1000 | failed /1000 | retried /1000 | remote /1000 "
    "|\n|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void PrintRow(const Scenario& aScenario,
              const PolicyVariant& aVariant,
              int aSeeds)
{
  Spread p50, p99, p999, refused, failed, retried, remote;
  for (int seed = 1; seed <= aSeeds; ++seed) {
    RunResult result =
      Run(aScenario, aVariant, static_cast<unsigned>(seed)).Execute();
    p50.Add(result.Percentile(0.5));
    p99.Add(result.Percentile(0.99));
    p999.Add(result.Percentile(0.999));
    refused.Add(PerThousand(result.mRefused, result.mRequests));
    failed.Add(PerThousand(result.mFailed, result.mRequests));
    retried.Add(PerThousand(result.mRetried, result.mRequests));
    remote.Add(PerThousand(result.mRemote, result.mAttempts));
  }
  std::printf("| %s | %.1f | %.1f | %s",
              aScenario.mName.c_str(),
              static_cast<double>(aScenario.mBetweenDomains.count()) / 1000.0,
              aScenario.mSigma,
              aVariant.mName.c_str());
  for (Spread* spread : { &p50, &p99, &p999 }) {
    spread->Print(1);
  }
  for (Spread* spread : { &refused, &failed, &retried }) {
    spread->Print(2);
  }
  remote.Print(0);
  std::printf(" |\n");
  std::fflush(stdout);
}

std::vector<Scenario> Scenarios()
{
  return { { .mName = "steady 60%" },
           { .mName = "rush 60% to 110%", .mPeakLoad = 1.1 },
           { .mName = "one 5x slower", .mSlowFactor = 5.0 },
           { .mName = "one fails", .mFails = true },
           { .mName = "rack of 3 lost", .mLostRacks = 1 },
           { .mName = "domain of 5 lost at 40%",
             .mLoad = 0.4,
             .mPeakLoad = 0.4,
             .mLosesDomain = true } };
}

RoutingPolicy LeastLoaded(double aMargin)
{
  RouterSettings settings;
  settings.mDomainMargin = aMargin;
  return LeastLoadedPick(settings);
}

void Compare(const std::vector<Scenario>& aScenarios,
             const std::vector<PolicyVariant>& aVariants,
             int aSeeds)
{
  constexpr std::chrono::microseconds kDelays[] = {
    std::chrono::microseconds(500), std::chrono::microseconds(1500)
  };
  PrintHeader();
  for (const auto delay : kDelays) {
    for (const double sigma : { 1.0, 0.3 }) {
      for (Scenario scenario : aScenarios) {
        scenario.mBetweenDomains = delay;
        scenario.mSigma = sigma;
        for (const PolicyVariant& variant : aVariants) {
          PrintRow(scenario, variant, aSeeds);
        }
      }
    }
  }
}

void ComparePolicies(int aSeeds)
{
  Compare(Scenarios(),
          { { "least loaded", LeastLoadedPick() },
            { "least loaded, no ejection", LeastLoadedPick(), false },
            { "random", RandomPick(), false },
            { "round robin", RoundRobinPick(), false } },
          aSeeds);
}

void CompareMargins(int aSeeds)
{
  std::vector<PolicyVariant> variants;
  for (const double margin : { 0.0, 0.125, 0.25, 0.5, 1.0 }) {
    variants.push_back(
      { "margin " + std::to_string(margin).substr(0, 5), LeastLoaded(margin) });
  }
  Compare({ { .mName = "steady 60%" },
            { .mName = "steady 85%", .mLoad = 0.85, .mPeakLoad = 0.85 } },
          variants,
          aSeeds);
}

void CompareKeyed(int aSeeds)
{
  std::vector<Scenario> scenarios;
  for (const double load : { 0.6, 0.85 }) {
    for (const double share : { 0.0, 0.5, 1.0 }) {
      char name[64];
      std::snprintf(name, sizeof name, "load %.2f, keyed %.2f", load, share);
      scenarios.push_back({ .mName = name,
                            .mLoad = load,
                            .mPeakLoad = load,
                            .mIdempotentShare = 0.0,
                            .mKeyedShare = share });
    }
  }
  Compare(scenarios, { { "least loaded", LeastLoadedPick() } }, aSeeds);
}

} // namespace
} // namespace foxtailbarrow::bench

int main(int argc, char** argv)
{
  using namespace foxtailbarrow::bench;
  const std::string_view comparison = argc > 1 ? argv[1] : "policies";
  const int seeds = argc > 2 ? std::atoi(argv[2]) : kSeeds;
  if (comparison == "policies") {
    ComparePolicies(seeds);
  } else if (comparison == "margins") {
    CompareMargins(seeds);
  } else if (comparison == "keyed") {
    CompareKeyed(seeds);
  } else {
    std::fprintf(stderr,
                 "unknown comparison, expected policies, margins or keyed\n");
    return 2;
  }
  return 0;
}
