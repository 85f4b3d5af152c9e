// Compares the placement policy with baselines in virtual time: the production
// JobScheduler with 11 simulated workers, three per rack. Prints the median and
// range over seeds.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "bench/placement/Trial.h"

namespace foxtailbarrow::bench {
namespace {

using namespace std::chrono_literals;

constexpr int kSeeds = 9;

std::string MedianAndSpread(const std::vector<Outcome>& aOutcomes,
                            double Outcome::*aField)
{
  std::vector<double> values;
  for (const Outcome& outcome : aOutcomes) {
    values.push_back(outcome.*aField);
  }
  std::ranges::sort(values);
  char text[64];
  std::snprintf(text,
                sizeof(text),
                "%.2f (%.2f-%.2f)",
                values[values.size() / 2],
                values.front(),
                values.back());
  return text;
}

void Compare(const Scenario& aScenario, const Variant& aVariant)
{
  std::vector<Outcome> outcomes;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    outcomes.push_back(Trial(aVariant, aScenario, seed).Run());
  }
  std::printf("| %s | %s | %s | %s | %s | %s | %s |\n",
              aScenario.mName,
              aVariant.mName,
              MedianAndSpread(outcomes, &Outcome::mFinishedCoreHours).c_str(),
              MedianAndSpread(outcomes, &Outcome::mEvictions).c_str(),
              MedianAndSpread(outcomes, &Outcome::mWastedCoreHours).c_str(),
              MedianAndSpread(outcomes, &Outcome::mUrgentP99).c_str(),
              MedianAndSpread(outcomes, &Outcome::mUrgentLate).c_str());
  std::fflush(stdout);
}

} // namespace
} // namespace foxtailbarrow::bench

int main()
{
  using namespace foxtailbarrow;
  using namespace foxtailbarrow::bench;
  const std::vector<Scenario> scenarios{
    { "sizes right, 0.5 ms", 0.5, false, false, false },
    { "sizes wrong 10x, 0.5 ms", 0.5, true, false, false },
    { "sizes wrong 10x, 1.5 ms", 1.5, true, false, false },
    { "noisy wave", 0.5, true, true, false },
    { "rack fails", 1.5, true, false, true },
  };
  const std::vector<Variant> variants{
    { "policy", Placer(), true, true },
    { "first fit", FirstFit(), true, true },
    { "random fit", RandomFit(), true, true },
    { "declared sizes", Placer(), false, true },
    { "no eviction", Placer(), true, false },
  };
  std::printf("| case | way | finished core-h | evictions | wasted core-h | "
              "urgent p99 s | urgent late |\n|---|---|---|---|---|---|---|\n");
  for (const Scenario& scenario : scenarios) {
    for (const Variant& variant : variants) {
      Compare(scenario, variant);
    }
  }
}
