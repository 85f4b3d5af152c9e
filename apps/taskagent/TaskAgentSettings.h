#pragma once

#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::taskagent {

/// Command-line settings of the task agent.
struct TaskAgentSettings
{
  AgentId mId;
  Endpoint mListen;     ///< For the cell's owner.
  Endpoint mAdvertised; ///< Public address of mListen; defaults to mListen.
  Endpoint mControl;    ///< For the worker on the same machine.
  Endpoint mMetrics;
  Endpoint mWorker;
  Endpoint mStore;
  std::vector<Endpoint> mSeeds; ///< Schedulers to ask for the owner.
  int mMemoryMb = 128;          ///< Of this process. Bounds its connections.
  /// That this process may open; 0 = as many as the system allows it.
  int mMaxDescriptors = 0;
  LogLevel mLogLevel = LogLevel::Info;
};

/// Returns an exit code if the program must exit now.
std::optional<int> ParseTaskAgentSettings(int argc,
                                          const char* const* argv,
                                          TaskAgentSettings& aSettings);

} // namespace foxtailbarrow::taskagent
