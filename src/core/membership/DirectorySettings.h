#pragma once

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

struct DirectorySettings
{
  /// Shortest interval that agents use. The interval in use is learned from
  /// each agent's heartbeats, since it grows with the number of entries.
  Duration mHeartbeatInterval = std::chrono::seconds(1);
  int mSuspectAfter = 3; ///< Silent intervals until Suspect.
  int mGoneAfter = 10;   ///< Silent intervals until Gone.

  /// How long an agent that is gone stays known, so that late heartbeats of
  /// its older incarnations are recognised.
  Duration mForgetAfter = std::chrono::seconds(60);

  /// How long idempotency keys are recognised; see ServiceTable::mFormer.
  Duration mKeyWindow = std::chrono::seconds(30);

  /// Longest time between two calls of Advance() that counts as the agents'
  /// silence. Beyond it, this process was paused and the agents were not.
  Duration mLongestTick = std::chrono::seconds(2);
};

} // namespace foxtailbarrow
