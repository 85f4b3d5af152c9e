#include "apps/entry/EntryMetrics.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace foxtailbarrow::entry {

namespace {

using JobCounter = std::uint64_t JobCounters::*;

constexpr std::pair<const char*, JobCounter> kJobCounters[] = {
  { "placed", &JobCounters::mPlaced },
  { "granted", &JobCounters::mGranted },
  { "refused", &JobCounters::mRefused },
  { "lapsed", &JobCounters::mLapsed },
  { "finished", &JobCounters::mFinished },
  { "failed", &JobCounters::mFailed },
  { "failed-attempts", &JobCounters::mFailedAttempts },
  { "cancelled", &JobCounters::mCancelled },
  { "evicted", &JobCounters::mEvicted },
  { "parked", &JobCounters::mParked },
  { "disowned", &JobCounters::mDisowned },
  { "commits", &JobCounters::mCommits },
  { "conflicts", &JobCounters::mConflicts },
  { "lost-commits", &JobCounters::mLostCommits },
};

} // namespace

void AddStoreMetrics(Metrics& aMetrics, const StoreCallCounts& aCounts)
{
  for (std::size_t kind = 0; kind < kStoreCallKinds; ++kind) {
    const auto call = static_cast<StoreCall>(kind);
    aMetrics.SampledGauge(
      "store_calls",
      "Calls to the platform's store since the start",
      [&aCounts, call] { return static_cast<double>(aCounts.Count(call)); },
      { { "kind", std::string(ToString(call)) } });
  }
}

void AddJobMetrics(Metrics& aMetrics, const JobScheduler& aScheduler)
{
  for (const auto& [what, counter] : kJobCounters) {
    aMetrics.SampledGauge("job_events",
                          "Events of jobs and their records since the start",
                          [&aScheduler, counter = counter] {
                            return static_cast<double>(aScheduler.Counters().*
                                                       counter);
                          },
                          { { "what", what } });
  }
}

} // namespace foxtailbarrow::entry
