#pragma once

#include <string>
#include <variant>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow {

/// Calls to the worker that TaskTable requests from its shell, which reports
/// each result by the method of the same name with "Done".
struct CallStart
{
  TaskStart mStart; ///< With the lease remaining when requested.
};

struct CallStop
{
  TaskKey mKey;
};

struct CallCheckpoint
{
  TaskKey mKey;
};

struct CallThrottle
{
  TaskKey mKey;
  double mFraction = 1.0;
};

/// Lets the worker drop tasks whose end the owners have saved.
struct CallAcknowledge
{
  std::vector<TaskKey> mKeys;
};

/// Needs no answer, because the next renewal repeats it.
struct CallRenew
{
  std::vector<TaskKey> mKeys;
  Duration mLease{}; ///< At most the shortest lease of the tasks' shards.
};

using WorkerCall = std::variant<CallStart,
                                CallStop,
                                CallCheckpoint,
                                CallThrottle,
                                CallAcknowledge,
                                CallRenew>;

} // namespace foxtailbarrow
