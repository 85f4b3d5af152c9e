#pragma once

#include "src/platform/store/HealthTrackingStore.h"

namespace foxtailbarrow::scheduler {

/// Keeps the knowledge of whether the store answers fresh on a scheduler that
/// makes no other calls, so that a request is refused at once while the store
/// is silent.
///
/// Calls of idle schedulers add up over the fleet, so the probe is a
/// serializable read. Such a read does not show that a store that was silent or
/// refused calls serves them again; that is probed by a linearizable one.
class StoreProbe
{
public:
  explicit StoreProbe(HealthTrackingStore& aStore)
    : mStore(aStore)
  {
  }

  /// Probes the store unless it has answered recently. Logs each change.
  void Round();

private:
  HealthTrackingStore& mStore;
  bool mLoggedAnswers = true;
};

} // namespace foxtailbarrow::scheduler
