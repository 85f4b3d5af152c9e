// Calls to the store and latency of record writes, for several batching modes.
// Writes arrive as a Poisson process; the store responds after 3 ms.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "src/platform/store/BatchWriter.h"
#include "src/platform/store/MemoryStore.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

constexpr double kWritesPerSecond = 1400;
constexpr Duration kLength = 4s;
constexpr Duration kStoreDelay = 3ms;

struct BatchingMode
{
  const char* mName;
  unsigned mLanes;
  Duration mLinger;
  std::size_t mMaxOperations;
};

constexpr BatchingMode kModes[] = {
  { "no batches", 1024, 0ms, 1 },       { "1 lane, 0 ms", 1, 0ms, 128 },
  { "1 lane, 10 ms", 1, 10ms, 128 },    { "1 lane, 20 ms", 1, 20ms, 128 },
  { "1 lane, 50 ms", 1, 50ms, 128 },    { "3 lanes, 20 ms", 3, 20ms, 128 },
  { "3 lanes, 50 ms", 3, 50ms, 128 },   { "16 lanes, 20 ms", 16, 20ms, 128 },
  { "16 lanes, 50 ms", 16, 50ms, 128 },
};

void Spawn(std::function<void()> aBody)
{
  boost::fibers::fiber(std::move(aBody)).detach();
}

struct Run
{
  std::vector<double> mMilliseconds;
  std::size_t mFailed = 0;
  std::uint64_t mCommits = 0;
};

void WriteOne(BatchWriter& aWriter, int aNumber, Run& aRun)
{
  const Instant start = MonotonicNow();
  const std::string key = "/jobs/" + std::to_string(aNumber);
  const auto outcome =
    aWriter.Write(static_cast<std::size_t>(aNumber),
                  { { key, std::string(300, 'v'), 0 }, 0, std::nullopt });
  aRun.mFailed += outcome.ok() ? 0 : 1;
  const std::chrono::duration<double, std::milli> latency =
    MonotonicNow() - start;
  aRun.mMilliseconds.push_back(latency.count());
}

Run Measure(const BatchingMode& aMode)
{
  MemoryStore store;
  store.SetFaults({ .mDelay = kStoreDelay });
  Run run;
  std::mt19937 random(1);
  std::exponential_distribution<double> gap(kWritesPerSecond);
  std::vector<boost::fibers::fiber> writes;
  {
    BatchWriter writer(store,
                       { .mLanes = aMode.mLanes,
                         .mLinger = aMode.mLinger,
                         .mMaxOperations = aMode.mMaxOperations },
                       Spawn);
    const Instant start = MonotonicNow();
    for (Duration at{}; at < kLength;) {
      boost::this_fiber::sleep_until(start + at);
      const auto number = static_cast<int>(writes.size());
      writes.emplace_back([&, number] { WriteOne(writer, number, run); });
      at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(random)));
    }
    for (auto& write : writes) {
      write.join();
    }
  }
  run.mCommits = store.Counts().Count(StoreCall::Commit);
  return run;
}

double Quantile(std::vector<double>& aSorted, double aShare)
{
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(std::floor(aShare * last))];
}

void Print(const BatchingMode& aMode, Run& aRun)
{
  std::sort(aRun.mMilliseconds.begin(), aRun.mMilliseconds.end());
  const std::chrono::duration<double> length = kLength;
  const auto writes = static_cast<double>(aRun.mMilliseconds.size());
  std::printf("%-16s %9.0f %9.0f %8.1f %8.1f %8.1f %7zu\n",
              aMode.mName,
              writes / length.count(),
              static_cast<double>(aRun.mCommits) / length.count(),
              writes / static_cast<double>(aRun.mCommits),
              Quantile(aRun.mMilliseconds, 0.5),
              Quantile(aRun.mMilliseconds, 0.99),
              aRun.mFailed);
}

} // namespace
} // namespace foxtailbarrow

int main()
{
  using namespace foxtailbarrow;
  std::printf("%-16s %9s %9s %8s %8s %8s %7s\n",
              "way",
              "writes/s",
              "calls/s",
              "a batch",
              "p50 ms",
              "p99 ms",
              "failed");
  for (const BatchingMode& mode : kModes) {
    Run run = Measure(mode);
    Print(mode, run);
  }
}
