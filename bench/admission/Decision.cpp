// Cost of deciding and finishing one admission, by number of threads: with one
// customer shared by all threads or one per thread, and with requests admitted
// or refused for their rate. Each iteration includes one read of the clock.

#include <array>

#include <benchmark/benchmark.h>

#include "src/core/admission/CustomerAdmission.h"

namespace foxtailbarrow {
namespace {

constexpr int kMaxThreads = 4;

struct alignas(64) AlignedAdmission
{
  CustomerAdmission mAdmission;
};

/// Admits every request, with a rate above what contracts allow, or refuses
/// nearly every request.
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
  ShareAllocation share;
  share.mStandingPermille = 500;
  share.mSlots = 3;
  share.mSlot = 1;
  share.mStandingUntil = Instant::max();
  share.mLiveEntries = 3;
  share.mRank = 1;
  share.mLeaseUntil = Instant::max();
  return share;
}

void Decide(benchmark::State& aState)
{
  static std::array<AlignedAdmission, kMaxThreads> sAdmissions;
  const bool isShared = aState.range(0) != 0;
  const auto own = static_cast<std::size_t>(aState.thread_index());
  CustomerAdmission& admission = sAdmissions[isShared ? 0 : own].mAdmission;
  const Contract contract = ContractOf(aState.range(1) != 0);
  const ShareAllocation share = ShareOfOneEntry();
  std::int64_t admitted = 0;
  for (auto _ : aState) {
    const Instant now = MonotonicNow();
    const AdmissionDecision decision =
      admission.Decide(contract, share, { .mNow = now });
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
