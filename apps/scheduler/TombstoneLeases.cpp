#include "apps/scheduler/TombstoneLeases.h"

#include <mutex>

namespace foxtailbarrow::scheduler {

absl::StatusOr<StoreLease> TombstoneLeases::Current()
{
  const std::unique_lock lock(mGranting);
  const Instant now = MonotonicNow();
  if (mLease && now - mGrantedAt < kSharedFor) {
    return *mLease;
  }
  const absl::StatusOr<StoreLease> granted = mStore.GrantLease(kTtl);
  if (!granted.ok()) {
    return granted.status();
  }
  mLease = *granted;
  mGrantedAt = now;
  return *granted;
}

void TombstoneLeases::OnEnded(StoreLease aLease)
{
  if (mLease == aLease) {
    mLease.reset();
  }
}

} // namespace foxtailbarrow::scheduler
