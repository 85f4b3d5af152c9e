#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::entry {

/// Settings of foxtailbarrow-entry, from flags and environment variables.
struct EntrySettings
{
  EntryId mId;
  Endpoint mListen{ "127.0.0.1", 0 };  ///< Callers.
  Endpoint mControl{ "127.0.0.1", 0 }; ///< JSON-RPC, metrics, state.
  std::vector<Endpoint> mStore;
  FailureDomainId mFailureDomain;
  unsigned mThreads = 2; ///< For requests; control has its own thread.
  std::uint32_t mShards = 64;
  std::uint32_t mShareSlots = 3;
  Duration mDefaultDeadline = std::chrono::seconds(10);
  Duration mMaxDeadline = std::chrono::minutes(5);
  Duration mEndedRetention = std::chrono::hours(24); ///< Of job records.
  Duration mDrainTimeout = std::chrono::seconds(30);
  int mMemoryMb = 256; ///< Of this process. Bounds its connections.
  /// That this process may open; 0 = as many as the system allows it.
  int mMaxDescriptors = 0;
  LogLevel mLogLevel = LogLevel::Info;
};

/// Fills `aSettings`. Returns an exit code if the program must exit now.
std::optional<int> ParseSettings(int aCount,
                                 const char* const* aArguments,
                                 EntrySettings& aSettings);

} // namespace foxtailbarrow::entry
