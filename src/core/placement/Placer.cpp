#include "src/core/placement/Placer.h"

#include <algorithm>

#include "absl/random/uniform_int_distribution.h"

namespace foxtailbarrow {

bool WithinShare(const PlacementRequest& aRequest,
                 const WorkerInfo& aWorker,
                 std::int64_t aUsedMillicores)
{
  const double share = aRequest.mSharePerWorker *
                       static_cast<double>(aWorker.mCapacity.mMillicores);
  const std::int64_t wanted = aUsedMillicores + aRequest.mSize.mMillicores;
  return static_cast<double>(wanted) <= share;
}

namespace {

double Fraction(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                    : 0.0;
}

/// Sum of the fractions of each resource left free: less is a tighter fit.
double UnusedShare(const Resources& aFree,
                   const Resources& aSize,
                   const Resources& aCapacity)
{
  const Resources left = aFree - aSize;
  return Fraction(left.mMillicores, aCapacity.mMillicores) +
         Fraction(left.mMemoryMb, aCapacity.mMemoryMb) +
         Fraction(left.mAccelerators, aCapacity.mAccelerators);
}

bool IsAvoided(const PlacementRequest& aRequest, WorkerSlot aSlot)
{
  return std::ranges::find(aRequest.mAvoid, aSlot) != aRequest.mAvoid.end();
}

/// Lower is better.
double Cost(const PlacementRequest& aRequest,
            const WorkerInfo& aWorker,
            const Resources& aFree,
            const PlacementLoad& aLoad)
{
  const double unused = UnusedShare(aFree, aRequest.mSize, aWorker.mCapacity);
  if (aRequest.mKind == JobKind::Batch) {
    return unused;
  }
  constexpr double kDomainWeight = 100.0;
  constexpr double kRackWeight = 10.0;
  return kDomainWeight *
           aLoad.InDomain(aRequest.mCustomer, aWorker.mFailureDomain) +
         kRackWeight * aLoad.InRack(aRequest.mCustomer, aWorker.mRack) - unused;
}

/// Keeps the candidate with the lowest cost.
class BestCandidate
{
public:
  BestCandidate(const PlacementRequest& aRequest,
                const WorkerIndex& aWorkers,
                const PlacementLoad& aLoad)
    : mRequest(aRequest)
    , mWorkers(aWorkers)
    , mLoad(aLoad)
  {
  }

  /// Returns false if the candidate is not acceptable.
  bool Offer(WorkerSlot aSlot)
  {
    const WorkerInfo& worker = mWorkers.At(aSlot);
    if (!IsAcceptable(mRequest, mWorkers, aSlot, mLoad)) {
      return false;
    }
    const double cost = Cost(mRequest, worker, mWorkers.Free(aSlot), mLoad);
    if (!mSlot || cost < mCost) {
      mSlot = aSlot;
      mCost = cost;
    }
    return true;
  }

  std::optional<WorkerSlot> Slot() const { return mSlot; }

private:
  const PlacementRequest& mRequest;
  const WorkerIndex& mWorkers;
  const PlacementLoad& mLoad;
  std::optional<WorkerSlot> mSlot;
  double mCost = 0.0;
};

} // namespace

bool IsAcceptable(const PlacementRequest& aRequest,
                  const WorkerIndex& aWorkers,
                  WorkerSlot aSlot,
                  const PlacementLoad& aLoad)
{
  return !IsAvoided(aRequest, aSlot) &&
         WithinShare(aRequest,
                     aWorkers.At(aSlot),
                     aLoad.Millicores(aRequest.mCustomer, aSlot));
}

std::optional<WorkerSlot> Placer::Choose(const PlacementRequest& aRequest,
                                         const WorkerIndex& aWorkers,
                                         const PlacementLoad& aLoad,
                                         absl::BitGenRef aRandom) const
{
  if (aWorkers.Size() == 0) {
    return std::nullopt;
  }
  const auto last = static_cast<WorkerSlot>(aWorkers.Size() - 1);
  absl::uniform_int_distribution<WorkerSlot> anySlot(0, last);
  BestCandidate best(aRequest, aWorkers, aLoad);
  for (int i = 0; i < mSettings.mSamples; ++i) {
    const auto slot = aWorkers.Find(aRequest.mSize, anySlot(aRandom));
    if (!slot) {
      return std::nullopt;
    }
    best.Offer(*slot);
  }
  WorkerSlot from = anySlot(aRandom);
  for (int i = 0; i < mSettings.mMaxFallbackProbes && !best.Slot(); ++i) {
    const auto slot = aWorkers.Find(aRequest.mSize, from);
    if (!slot) {
      return std::nullopt;
    }
    best.Offer(*slot);
    from = *slot == last ? 0 : *slot + 1;
  }
  return best.Slot();
}

std::vector<WorkerSlot> SampleWorkers(const PlacementRequest& aRequest,
                                      const WorkerIndex& aWorkers,
                                      absl::BitGenRef aRandom)
{
  constexpr std::size_t kSamples = 32;
  std::vector<WorkerSlot> sample;
  const std::size_t count = aWorkers.Size();
  if (count == 0) {
    return sample;
  }
  absl::uniform_int_distribution<std::size_t> anySlot(0, count - 1);
  const std::size_t first = anySlot(aRandom);
  const std::size_t sampled = std::min(count, kSamples);
  // Spread evenly over the fleet: adjacent slots often share a rack.
  const std::size_t stride = count / sampled;
  for (std::size_t i = 0; i < sampled; ++i) {
    const auto slot = static_cast<WorkerSlot>((first + i * stride) % count);
    const WorkerInfo& worker = aWorkers.At(slot);
    if (aWorkers.Placeable(slot) && aRequest.mSize.FitsIn(worker.mCapacity) &&
        !IsAvoided(aRequest, slot)) {
      sample.push_back(slot);
    }
  }
  return sample;
}

} // namespace foxtailbarrow
