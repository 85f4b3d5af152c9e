#pragma once

#include <random>

#include "soak/Fleet.h"
#include "src/net/HttpClient.h"

namespace foxtailbarrow::soak {

/// Another writer in the store and at the agents: puts texts that cannot be
/// read where records belong, the operator's configuration among them, and
/// sends heartbeats that are no worker's. Runs on the runtime's one thread.
class ForeignWriter
{
public:
  ForeignWriter(net::FiberRuntime& aRuntime, Fleet& aFleet, unsigned aSeed);

  /// Writes until Stop(), in a fiber of its own.
  void Start();
  /// The configuration can be read again after it. Without Start() before,
  /// nothing is done.
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
  bool mWrites = false;
};

} // namespace foxtailbarrow::soak
