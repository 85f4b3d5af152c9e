#pragma once

#include <optional>
#include <span>
#include <vector>

#include "absl/random/bit_gen_ref.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Resources.h"
#include "src/core/placement/PlacementLoad.h"
#include "src/core/placement/WorkerIndex.h"

namespace foxtailbarrow {

/// A job to place.
struct PlacementRequest
{
  CustomerId mCustomer;
  JobKind mKind = JobKind::Batch;
  Resources mSize;
  double mSharePerWorker = 1.0;       ///< From the contract, 0..1.
  std::span<const WorkerSlot> mAvoid; ///< Where it failed or was refused.
};

/// True if the request stays within the customer's share of the worker, given
/// the customer's present usage there.
bool WithinShare(const PlacementRequest& aRequest,
                 const WorkerInfo& aWorker,
                 std::int64_t aUsedMillicores);

/// A sample of workers, spread evenly over the fleet, on which the request
/// would fit if they were empty; used for evictions. Ignores the share per
/// worker, which depends on the evicted tasks.
std::vector<WorkerSlot> SampleWorkers(const PlacementRequest& aRequest,
                                      const WorkerIndex& aWorkers,
                                      absl::BitGenRef aRandom);

/// True if the worker is not to be avoided and the customer's share allows it.
bool IsAcceptable(const PlacementRequest& aRequest,
                  const WorkerIndex& aWorkers,
                  WorkerSlot aSlot,
                  const PlacementLoad& aLoad);

/// Chooses the worker for a job: the best of a sample of feasible workers.
/// Batch jobs use the tightest fit, to keep large free blocks; exclusive and
/// standing jobs go where the customer has fewest jobs in the failure domain
/// and rack, to limit the effect of one fault. Samples start at random slots,
/// so that several entries rarely choose the same worker.
class Placer
{
public:
  struct Settings
  {
    int mSamples = 8;
    /// Following slots tried if no worker of the sample is acceptable.
    int mMaxFallbackProbes = 64;
  };

  Placer() = default;
  explicit Placer(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// nullopt if no worker fits now. Never returns a worker that is quarantined,
  /// suspect, draining or in `mAvoid`, or where the request exceeds the free
  /// resources or the customer's share.
  std::optional<WorkerSlot> Choose(const PlacementRequest& aRequest,
                                   const WorkerIndex& aWorkers,
                                   const PlacementLoad& aLoad,
                                   absl::BitGenRef aRandom) const;

private:
  Settings mSettings;
};

} // namespace foxtailbarrow
