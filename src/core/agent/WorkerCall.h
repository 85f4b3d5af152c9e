#pragma once

#include <string>
#include <variant>
#include <vector>

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow {

/// Calls to the worker that TaskTable asks its shell to make. Each is answered
/// by the event of the same name with "Done".
struct CallStart
{
  TaskStart mStart; ///< With the lease allowed at the time of asking.
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

/// Lets the worker forget tasks whose end the owners have recorded.
struct CallAcknowledge
{
  std::vector<TaskKey> mKeys;
};

/// Needs no answer: the next renewal repeats it.
struct CallRenew
{
  std::vector<TaskKey> mKeys;
  Duration mLease{}; ///< Never beyond the lease of any shard concerned.
};

using WorkerCall = std::variant<CallStart,
                                CallStop,
                                CallCheckpoint,
                                CallThrottle,
                                CallAcknowledge,
                                CallRenew>;

} // namespace foxtailbarrow
