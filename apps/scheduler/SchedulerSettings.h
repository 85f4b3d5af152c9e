#pragma once

#include <optional>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

/// Settings of a scheduler.
struct SchedulerSettings
{
  EntryId mId;
  Endpoint mListen;     ///< For callers.
  Endpoint mReady;      ///< Tells the balancer whether callers may come.
  Endpoint mPeers;      ///< For agents and other schedulers.
  Endpoint mAdvertised; ///< Where others reach mPeers; by default mPeers.
  Endpoint mControl;    ///< As mPeers, where the platform's seed lists point.
  Endpoint mMetrics;
  Endpoint mStore;
  Endpoint mAdvice; ///< The service that chooses the workers of some queues.
  std::vector<Endpoint> mSeeds; ///< Schedulers, this one perhaps among them.
  /// Of one core, that this process may use; the weak let others own the cell.
  double mProcessorShare = 1.0;
  /// The platform ends all leases of a worker by then.
  Duration mMaxWorkerLease = std::chrono::milliseconds(6000);
  /// Time for which ended jobs can be read.
  Duration mKeepEnded = std::chrono::seconds(120);
  /// After SIGTERM; shorter than the platform's time until SIGKILL.
  Duration mDrainTimeout = std::chrono::milliseconds(4500);
  LogLevel mLogLevel = LogLevel::Info;
};

/// Exit code when the program is to end now.
std::optional<int> ParseSchedulerSettings(int argc,
                                          const char* const* argv,
                                          SchedulerSettings& aSettings);

} // namespace foxtailbarrow::scheduler
