#pragma once

#include "foxtailbarrow/Time.h"
#include "src/core/routing/KeyedSettings.h"

namespace foxtailbarrow {

struct DirectorySettings
{
  /// Minimum heartbeat interval of agents. The actual interval is learned from
  /// each agent's heartbeats, since it grows with the number of entries.
  Duration mHeartbeatInterval = std::chrono::seconds(1);
  int mSuspectAfter = 3; ///< Intervals without a heartbeat until Suspect.
  int mGoneAfter = 10;   ///< Intervals without a heartbeat until Gone.

  /// How long a Gone agent stays known, so that late heartbeats of its older
  /// incarnations are recognised.
  Duration mForgetAfter = std::chrono::seconds(60);

  /// How long an agent that no longer gets requests is kept in
  /// ServiceTable::mFormer.
  Duration mKeyWindow = KeyedSettings().mWindow;

  /// Agents that become routable within this time after the service's first one
  /// hold idempotency keys at once: they ran before this entry started, or the
  /// service is new.
  Duration mDiscoveryTime = std::chrono::seconds(2);

  /// Maximum time between two calls of Advance() that counts as time without
  /// heartbeats. Any excess is treated as a pause of this process.
  Duration mMaxAdvanceInterval = std::chrono::seconds(2);
};

} // namespace foxtailbarrow
