#pragma once

#include "foxtailbarrow/Time.h"
#include "src/core/routing/KeyedSettings.h"

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

  /// How long an agent that gets no requests any more is kept in
  /// ServiceTable::mFormer.
  Duration mKeyWindow = KeyedSettings().mWindow;

  /// Agents that serve within this time of the service's first one, as this
  /// entry sees it, take keys at once: they were there before this entry, or
  /// the service is new.
  Duration mDiscoveryTime = std::chrono::seconds(2);

  /// Longest time between two calls of Advance() that counts as the agents'
  /// silence. Beyond it, this process was paused and the agents were not.
  Duration mMaxAdvanceInterval = std::chrono::seconds(2);
};

} // namespace foxtailbarrow
