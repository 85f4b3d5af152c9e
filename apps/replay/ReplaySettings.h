#pragma once

#include <iosfwd>
#include <string>
#include <variant>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::replay {

/// Settings of `run`, which replays a trace against a running system.
struct RunSettings
{
  std::string mTrace;              ///< Path.
  std::vector<Endpoint> mEntries;  ///< Their addresses for callers.
  std::vector<Endpoint> mStore;    ///< Required for contract lines.
  std::vector<Endpoint> mBackends; ///< Stand-ins to audit.
  std::vector<Endpoint> mWorkers;  ///< Stand-ins to audit.
  unsigned mThreads = 2;
  int mMaxRetries = 3;
  Duration mReadyTimeout = std::chrono::seconds(30);
  Duration mProgress = std::chrono::seconds(5);
};

/// Settings of `generate`, which writes a trace with a deployment's shape.
struct GenerateSettings
{
  std::string mDeployment;
  std::uint64_t mSeed = 1;
  std::string mOut;       ///< Path of the trace.
  std::string mContracts; ///< Folder for its contracts; empty = not written.
};

using ReplaySettings = std::variant<RunSettings, GenerateSettings>;

/// Returns the settings, or the exit code if the program must exit.
std::variant<ReplaySettings, int> ParseReplaySettings(
  std::vector<std::string> aArguments,
  std::ostream& aOut,
  std::ostream& aErr);

} // namespace foxtailbarrow::replay
