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

/// What has to be placed.
struct PlacementRequest
{
  CustomerId mCustomer;
  JobKind mKind = JobKind::Batch;
  Resources mSize;
  double mSharePerWorker = 1.0;       ///< Of the contract, 0..1.
  std::span<const WorkerSlot> mAvoid; ///< Where it failed or was refused.
};

/// True when the request stays within the customer's share of the worker, of
/// which it uses that much already.
bool WithinShare(const PlacementRequest& aRequest,
                 const WorkerInfo& aWorker,
                 std::int64_t aUsedMillicores);

/// Workers on which the request would fit if they were empty, for evictions:
/// some spread evenly over the fleet. The share per worker is not looked at,
/// since it depends on who is evicted.
std::vector<WorkerSlot> SampleWorkers(const PlacementRequest& aRequest,
                                      const WorkerIndex& aWorkers,
                                      absl::BitGenRef aRandom);

/// Whether a job may go to this worker, as far as the customer is concerned.
bool IsWanted(const PlacementRequest& aRequest,
              const WorkerIndex& aWorkers,
              WorkerSlot aSlot,
              const PlacementLoad& aLoad);

/// Picks the worker for a job. Samples feasible workers and keeps the best:
/// batch goes where it fits most tightly, so that large holes stay; exclusive
/// and standing work goes where the customer has least in the failure domain
/// and rack, so that one fault stops little of it. Draws the sample from
/// random starting points, so that several entries rarely choose alike.
class Placer
{
public:
  struct Settings
  {
    int mSamples = 8;
    int mWalk = 64; ///< Neighbours tried when the whole sample is unwanted.
  };

  Placer() = default;
  explicit Placer(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// nullopt: no worker now. Never a worker that is quarantined, suspect or
  /// draining, nor one in `mAvoid`, nor one where the request exceeds the free
  /// resources or the customer's share.
  std::optional<WorkerSlot> Choose(const PlacementRequest& aRequest,
                                   const WorkerIndex& aWorkers,
                                   const PlacementLoad& aLoad,
                                   absl::BitGenRef aRandom) const;

private:
  Settings mSettings;
};

} // namespace foxtailbarrow
