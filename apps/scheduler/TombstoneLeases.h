#pragma once

#include <optional>

#include <boost/fiber/mutex.hpp>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "src/core/admission/TokenBucket.h"
#include "src/core/cell/records/CellRecords.h"

namespace foxtailbarrow::scheduler {

/// Leases of the store for tombstones of cancelled jobs. Bounds the tombstones
/// of this scheduler that exist at a time, and the store's writes for them, for
/// any number of cancellations: kPerSecond * kTtl + kBurst.
class TombstoneLeases
{
public:
  /// A tombstone lasts for at least this long, an outage of the store apart, in
  /// which leases may end.
  static constexpr Duration kMinTime = 2 * cell::kLateCallTime;
  static constexpr double kPerSecond = 5;
  static constexpr std::int64_t kBurst = 60;

  explicit TombstoneLeases(Store& aStore)
    : mStore(aStore)
  {
  }

  /// Returns nullopt if another tombstone may be written, or the time until
  /// then.
  std::optional<Duration> Admit(Instant aNow)
  {
    return mBucket.TryTake(aNow, { kPerSecond, kBurst });
  }

  /// A lease with at least kMinTime left. Suspends the fiber if a new one is
  /// needed.
  absl::StatusOr<StoreLease> Current();
  /// The store does not know the lease any more.
  void OnEnded(StoreLease aLease);

private:
  /// Tombstones of this time share a lease.
  static constexpr Duration kSharedFor = cell::kLateCallTime;
  static constexpr Duration kTtl = kMinTime + kSharedFor;

  Store& mStore;
  TokenBucket mBucket;
  boost::fibers::mutex mGranting;
  std::optional<StoreLease> mLease;
  Instant mGrantedAt{};
};

} // namespace foxtailbarrow::scheduler
