// Cost of one admission decision and its end, by threads: all on one customer,
// and each thread on a customer of its own; admitted, and refused for its rate.
// Each includes one reading of the clock.

#include <array>

#include <benchmark/benchmark.h>

#include "src/core/admission/CustomerAdmission.h"

namespace foxtailbarrow {
namespace {

constexpr int kMaxThreads = 4;

struct alignas(64) Slot
{
  CustomerAdmission mAdmission;
};

/// Far beyond what a contract may say, so that every request is admitted
/// however fast they come; or so little that next to none is.
Contract ContractOf(bool aIsRefused)
{
  Contract contract;
  contract.mMaxConcurrency = 1'000'000;
  contract.mRequestsPerSecond = aIsRefused ? 0.01 : 1e12;
  contract.mBurst = aIsRefused ? 1 : 1'000'000;
  return contract;
}

ShareAllocation ShareOfOneEntry()
{
  ShareAllocation basis;
  basis.mStandingPermille = 500;
  basis.mSlots = 3;
  basis.mSlot = 1;
  basis.mStandingUntil = Instant::max();
  basis.mLiveEntries = 3;
  basis.mRank = 1;
  basis.mLeaseUntil = Instant::max();
  return basis;
}

void Decide(benchmark::State& aState)
{
  static std::array<Slot, kMaxThreads> sSlots;
  const bool isShared = aState.range(0) != 0;
  const auto own = static_cast<std::size_t>(aState.thread_index());
  CustomerAdmission& admission = sSlots[isShared ? 0 : own].mAdmission;
  const Contract contract = ContractOf(aState.range(1) != 0);
  const ShareAllocation basis = ShareOfOneEntry();
  std::int64_t admitted = 0;
  for (auto _ : aState) {
    const Instant now = MonotonicNow();
    const AdmissionDecision decision =
      admission.Decide(contract, basis, { .mNow = now });
    if (std::holds_alternative<Admit>(decision)) {
      ++admitted;
      admission.Finish(now);
    }
  }
  aState.counters["admitted"] = benchmark::Counter(
    static_cast<double>(admitted) / static_cast<double>(aState.iterations()),
    benchmark::Counter::kAvgThreads);
}

BENCHMARK(Decide)
  ->ArgNames({ "shared", "refused" })
  ->ArgsProduct({ { 0, 1 }, { 0, 1 } })
  ->Threads(1)
  ->Threads(2)
  ->Threads(4)
  ->UseRealTime();

} // namespace
} // namespace foxtailbarrow

BENCHMARK_MAIN();
