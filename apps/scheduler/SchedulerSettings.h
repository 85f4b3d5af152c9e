#pragma once

#include <optional>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

/// Command-line settings of a scheduler.
struct SchedulerSettings
{
  EntryId mId;
  Endpoint mListen;     ///< For callers.
  Endpoint mReady;      ///< Readiness check of the load balancer.
  Endpoint mPeers;      ///< For agents and other schedulers.
  Endpoint mAdvertised; ///< Public address of mPeers; defaults to mPeers.
  Endpoint mControl;    ///< Same as mPeers, at the address in seed lists.
  Endpoint mMetrics;
  Endpoint mStore;
  Endpoint mAdvice; ///< Service that chooses the workers of some queues.
  std::vector<Endpoint> mSeeds; ///< Schedulers, possibly including this one.
  /// Processor time of this process in cores. Schedulers with a small share
  /// let others take the cell first.
  double mProcessorShare = 1.0;
  /// Memory of this process. Bounds the jobs that the cell accepts.
  int mMemoryMb = 256;
  /// That this process may open; 0 = as many as the system allows it.
  int mMaxDescriptors = 0;
  /// Longest lease that a worker of this platform accepts.
  Duration mMaxWorkerLease = std::chrono::milliseconds(6000);
  /// Longest time that a worker of this platform takes to stop a task.
  Duration mStopTime = std::chrono::milliseconds(400);
  /// Longest time until a change of the configuration is in force.
  Duration mConfigurationTimeout = std::chrono::milliseconds(2000);
  /// How long ended jobs can still be read.
  Duration mKeepEnded = std::chrono::seconds(120);
  /// Counted from SIGTERM; shorter than the platform's delay until SIGKILL.
  Duration mDrainTimeout = std::chrono::milliseconds(4500);
  LogLevel mLogLevel = LogLevel::Info;
};

/// Returns an exit code if the program must exit now.
std::optional<int> ParseSchedulerSettings(int argc,
                                          const char* const* argv,
                                          SchedulerSettings& aSettings);

} // namespace foxtailbarrow::scheduler
