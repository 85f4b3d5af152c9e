#pragma once

#include <iosfwd>
#include <string>
#include <variant>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::replay {

/// `run`: replay a trace against a running system.
struct RunSettings
{
  std::string mTrace;              ///< Path.
  std::vector<Endpoint> mEntries;  ///< Callers' addresses.
  std::vector<Endpoint> mStore;    ///< Needed for contract lines.
  std::vector<Endpoint> mBackends; ///< Stand-ins to ask what ran.
  std::vector<Endpoint> mWorkers;  ///< Stand-ins to ask what ran.
  unsigned mThreads = 2;
  int mMaxRetries = 3;
  Duration mReadyTimeout = std::chrono::seconds(30);
  Duration mProgress = std::chrono::seconds(5);
};

/// `generate`: write a trace in the shape of a deployment.
struct GenerateSettings
{
  std::string mDeployment;
  std::uint64_t mSeed = 1;
  std::string mOut;       ///< Path of the trace.
  std::string mContracts; ///< Folder for its contracts; empty = none.
};

using ReplaySettings = std::variant<RunSettings, GenerateSettings>;

/// The settings, or the exit code when the program is to end now.
std::variant<ReplaySettings, int> ParseReplaySettings(
  std::vector<std::string> aArguments,
  std::ostream& aOut,
  std::ostream& aErr);

} // namespace foxtailbarrow::replay
