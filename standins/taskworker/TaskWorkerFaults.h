#pragma once

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// Injected faults of a worker of the users' platform.
struct TaskWorkerFaults
{
  bool mMute = false;    ///< Calls have no effect and get no response.
  bool mFailAll = false; ///< Every task fails.
  double mLateShare = 0; ///< Share of calls executed late, without a response.
  Duration mLateBy = std::chrono::milliseconds(2500);
};

} // namespace foxtailbarrow::standin
