#pragma once

#include <optional>
#include <string>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Id.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::taskagent {

/// Settings of the task agent, with the units that their names say.
struct TaskAgentSettings
{
  AgentId mId;
  Endpoint mListen;     ///< For the owner of the cell.
  Endpoint mAdvertised; ///< Where the owner reaches it; by default mListen.
  Endpoint mControl;    ///< For the worker on the same machine.
  Endpoint mMetrics;
  Endpoint mWorker;
  Endpoint mStore;
  std::vector<Endpoint> mSeeds; ///< Schedulers to ask for the owner.
  LogLevel mLogLevel = LogLevel::Info;
};

/// Exit code when the program is to end now.
std::optional<int> ParseTaskAgentSettings(int argc,
                                          const char* const* argv,
                                          TaskAgentSettings& aSettings);

} // namespace foxtailbarrow::taskagent
