// Compares FairQueue with FifoQueue in virtual time while one customer floods
// the queue and the others keep their normal rate. Reports the median and range
// over seeds.

#include <algorithm>
#include <array>
#include <queue>
#include <random>
#include <vector>

#include <benchmark/benchmark.h>

#include "src/core/admission/FairQueue.h"
#include "src/core/admission/FifoQueue.h"

namespace foxtailbarrow {
namespace {

constexpr int kSlots = 88;           // 11 backend servers with 8 slots each
constexpr double kServiceMs = 10.0;  // mean; exponentially distributed
constexpr int kCustomers = 10;       // customer 0 floods the queue
constexpr double kNormalPerMs = 0.6; // the slots serve 8.8 in total
constexpr double kFloodPerMs = 8.8;  // ten times its fair share
constexpr Duration kDeadline = std::chrono::milliseconds(500);
constexpr Duration kRun = std::chrono::seconds(60);
constexpr Duration kSweepInterval = std::chrono::milliseconds(5);
constexpr double kLateMs = 5.0;
constexpr std::array<std::uint64_t, 5> kSeeds = { 1, 2, 3, 4, 5 };

struct Outcome
{
  double mNormalServed = 0; ///< Share of the other customers' requests.
  double mFloodShare = 0;   ///< Of all requests served.
  double mNormalP50Ms = 0;  ///< From arrival to response.
  double mNormalP99Ms = 0;
  double mRefusalP99Ms = 0; ///< From arrival to refusal.
  double mRefusedLate = 0;  ///< Share of refusals later than kLateMs.
  double mUtilization = 0;
};

double Quantile(std::vector<double>& aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
    aQuantile * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
  return aValues[static_cast<std::size_t>(index)];
}

template<typename Queue>
class Simulation
{
public:
  Simulation(std::uint64_t aSeed, double aFloodPerMs)
    : mRandom(aSeed)
    , mFloodPerMs(aFloodPerMs)
  {
  }

  Outcome Run()
  {
    Instant sweep = mNow;
    Instant arrival = NextArrival();
    while (mNow < kEnd) {
      const Instant ended = mEnds.empty() ? Instant::max() : mEnds.top();
      mNow = std::min({ arrival, ended, sweep });
      if (mNow == ended) {
        mEnds.pop();
        Fill();
      } else if (mNow == arrival) {
        Arrive();
        arrival = NextArrival();
      } else {
        RecordRefusals(mQueue.Sweep(mNow));
        sweep = mNow + kSweepInterval;
      }
    }
    return Summary();
  }

private:
  static constexpr Instant kBegin{ std::chrono::seconds(1) };
  static constexpr Instant kEnd = kBegin + kRun;

  double Rate() const { return mFloodPerMs + (kCustomers - 1) * kNormalPerMs; }

  Instant NextArrival()
  {
    std::exponential_distribution<double> gap(Rate());
    return mNow + Duration(static_cast<Duration::rep>(gap(mRandom) * 1000) + 1);
  }

  void Arrive()
  {
    std::uniform_real_distribution<double> uniform(0, 1);
    const double draw = uniform(mRandom) * Rate();
    const int customer =
      draw < mFloodPerMs
        ? 0
        : 1 + static_cast<int>((draw - mFloodPerMs) / kNormalPerMs);
    QueuedRequest request;
    request.mHandle = mArrived.size();
    request.mCustomer =
      mNames[static_cast<std::size_t>(std::min(customer, kCustomers - 1))];
    request.mDeadline = mNow + kDeadline;
    request.mJitter = uniform(mRandom);
    mArrived.push_back(mNow);
    mNormalOffered += customer == 0 ? 0 : 1;
    RecordRefusals(mQueue.Offer(mNow, std::move(request)));
    Fill();
  }

  void Fill()
  {
    while (mEnds.size() < kSlots && mQueue.Size() > 0) {
      QueuePop pop = mQueue.Pop(mNow);
      RecordRefusals(pop.mRefused);
      if (pop.mNext) {
        Serve(*pop.mNext);
      }
    }
  }

  void Serve(const QueuedRequest& aRequest)
  {
    std::exponential_distribution<double> service(1 / kServiceMs);
    const double serviceMs = service(mRandom);
    const Instant ends =
      mNow + Duration(static_cast<Duration::rep>(serviceMs * 1000) + 1);
    mEnds.push(ends);
    mBusyMs += serviceMs;
    ++mServed;
    if (aRequest.mCustomer != mNames[0]) {
      mNormalMs.push_back(Since(aRequest.mHandle, ends));
    }
  }

  void RecordRefusals(const std::vector<QueueRefusal>& aRefusals)
  {
    for (const QueueRefusal& refusal : aRefusals) {
      mRefusalMs.push_back(Since(refusal.mHandle, mNow));
    }
  }

  double Since(std::uint64_t aHandle, Instant aTime) const
  {
    return static_cast<double>((aTime - mArrived[aHandle]).count()) / 1000;
  }

  Outcome Summary()
  {
    const auto normal = static_cast<double>(mNormalMs.size());
    Outcome outcome;
    outcome.mNormalServed = normal / mNormalOffered;
    outcome.mFloodShare = 1 - normal / mServed;
    outcome.mNormalP50Ms = Quantile(mNormalMs, 0.5);
    outcome.mNormalP99Ms = Quantile(mNormalMs, 0.99);
    outcome.mRefusalP99Ms = Quantile(mRefusalMs, 0.99);
    outcome.mRefusedLate = mRefusalMs.empty()
                             ? 0
                             : static_cast<double>(std::count_if(
                                 mRefusalMs.begin(),
                                 mRefusalMs.end(),
                                 [](double aMs) { return aMs > kLateMs; })) /
                                 static_cast<double>(mRefusalMs.size());
    outcome.mUtilization =
      mBusyMs / kSlots / (static_cast<double>(kRun.count()) / 1000);
    return outcome;
  }

  std::vector<CustomerId> mNames = [] {
    std::vector<CustomerId> names;
    for (int i = 0; i < kCustomers; ++i) {
      names.emplace_back("customer-" + std::to_string(i));
    }
    return names;
  }();
  std::mt19937_64 mRandom;
  double mFloodPerMs;
  Queue mQueue{ QueueSettings{ 8192 } };
  Instant mNow = kBegin;
  std::priority_queue<Instant, std::vector<Instant>, std::greater<>> mEnds;
  std::vector<Instant> mArrived;
  std::vector<double> mNormalMs;
  std::vector<double> mRefusalMs;
  double mNormalOffered = 0;
  double mServed = 0;
  double mBusyMs = 0;
};

void Report(benchmark::State& aState,
            const char* aName,
            const std::vector<Outcome>& aOutcomes,
            double Outcome::*aField)
{
  std::vector<double> values;
  for (const Outcome& outcome : aOutcomes) {
    values.push_back(outcome.*aField);
  }
  std::sort(values.begin(), values.end());
  const std::string name = aName;
  aState.counters[name] = values[values.size() / 2];
  aState.counters[name + "_min"] = values.front();
  aState.counters[name + "_max"] = values.back();
}

template<typename Queue>
void Overload(benchmark::State& aState)
{
  const double flood = aState.range(0) != 0 ? kFloodPerMs : kNormalPerMs;
  std::vector<Outcome> outcomes;
  for (auto _ : aState) {
    outcomes.clear();
    for (const std::uint64_t seed : kSeeds) {
      outcomes.push_back(Simulation<Queue>(seed, flood).Run());
    }
  }
  Report(aState, "calm_served", outcomes, &Outcome::mNormalServed);
  Report(aState, "flood_part", outcomes, &Outcome::mFloodShare);
  Report(aState, "calm_p50_ms", outcomes, &Outcome::mNormalP50Ms);
  Report(aState, "calm_p99_ms", outcomes, &Outcome::mNormalP99Ms);
  Report(aState, "refusal_p99_ms", outcomes, &Outcome::mRefusalP99Ms);
  Report(aState, "refused_late", outcomes, &Outcome::mRefusedLate);
  Report(aState, "utilization", outcomes, &Outcome::mUtilization);
}

BENCHMARK_TEMPLATE(Overload, FairQueue)
  ->ArgName("flood")
  ->Arg(0)
  ->Arg(1)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);
BENCHMARK_TEMPLATE(Overload, FifoQueue)
  ->ArgName("flood")
  ->Arg(0)
  ->Arg(1)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace foxtailbarrow

BENCHMARK_MAIN();
