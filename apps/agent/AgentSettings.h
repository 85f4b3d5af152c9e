#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"
#include "src/core/agent/SlotGate.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow {

/// Settings of foxtailbarrow-agent, with their defaults.
struct AgentSettings
{
  AgentId mId;
  Endpoint mListen{ "127.0.0.1", 0 };
  Endpoint mBackend;
  Endpoint mWorker;
  std::vector<Endpoint> mEntries; ///< Heartbeat targets until one replies.
  ServiceId mService;
  RackId mRack;
  FailureDomainId mFailureDomain;
  SlotGateLimits mSlots;
  /// Reserved on the worker for the colocated service.
  Resources mServiceReserve{ 16'000, 16'384, 0 };
  unsigned mThreads = 1;
  Duration mHeartbeat = std::chrono::seconds(1);
  /// For requests without a deadline.
  Duration mDefaultDeadline = std::chrono::seconds(10);
  Duration mDrainTimeout = std::chrono::seconds(60);
  Duration mWorkerTimeout = std::chrono::seconds(2); ///< Of one call.
  Duration mViewInterval = std::chrono::seconds(1);  ///< Of worker polls.
  Duration mBackendProbe = std::chrono::milliseconds(500);
  ShardId mShards = 64; ///< Of the job space; the same in every process.
  int mMemoryMb = 128;  ///< Of this process. Bounds its connections.
  /// That this process may open; 0 = as many as the system allows it.
  int mMaxDescriptors = 0;
  LogLevel mLogLevel = LogLevel::Info;
};

/// Fills `aValues` from flags and environment variables. Returns an exit code
/// if the program must exit now.
std::optional<int> ParseAgentSettings(int argc,
                                      const char* const* argv,
                                      AgentSettings& aValues);

} // namespace foxtailbarrow
