#pragma once

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// What is wrong with a worker of the users' platform.
struct TaskWorkerFaults
{
  bool mMute = false;    ///< Nothing is done, nothing is answered.
  bool mFailAll = false; ///< Every task fails.
  double mLateShare = 0; ///< Of the orders: not answered, carried out later.
  Duration mLateBy = std::chrono::milliseconds(2500);
};

} // namespace foxtailbarrow::standin
