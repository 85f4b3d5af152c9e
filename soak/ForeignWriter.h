#pragma once

#include <random>

#include "soak/Fleet.h"
#include "src/net/HttpClient.h"

namespace foxtailbarrow::soak {

/// A foreign client of the store and the agents: writes unparsable text under
/// the keys of records and of the operator's configuration, and sends invalid
/// heartbeats. Runs on the single thread of the runtime.
class ForeignWriter
{
public:
  ForeignWriter(net::FiberRuntime& aRuntime, Fleet& aFleet, unsigned aSeed);

  /// Writes in a separate fiber until Stop().
  void Start();
  /// Restores a valid configuration. No effect unless started.
  void Stop();

private:
  void Write();
  void SendHeartbeat();
  std::string BadText();

  net::FiberRuntime& mRuntime;
  Fleet& mFleet;
  net::HttpClient mClient;
  std::mt19937 mRandom;
  int mWritten = 0;
  bool mIsWriting = false;
};

} // namespace foxtailbarrow::soak
