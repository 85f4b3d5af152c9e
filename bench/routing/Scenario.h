#pragma once

#include <string>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::bench {

/// Load and faults of one run with eleven backend servers, three per rack, and
/// three entries, one per failure domain.
struct Scenario
{
  std::string mName;
  double mLoad = 0.6;        ///< Initial average share of slots in use.
  double mPeakLoad = 0.6;    ///< From kPeakBegin to kPeakEnd, after a ramp.
  double mSlowFactor = 1;    ///< Of server 0's service time after kFaultBegin.
  bool mFails = false;       ///< Server 0 then immediately responds 500.
  int mLostRacks = 0;        ///< Racks that are then lost.
  bool mLosesDomain = false; ///< The failure domain of server 0 is then lost.
  double mIdempotentShare = 0.5;
  double mKeyedShare = 0; ///< Of the non-idempotent requests.
  double mSigma = 1.0;    ///< Standard deviation of log(service time).
  Duration mBetweenDomains = std::chrono::microseconds(500); ///< One way.
};

inline constexpr int kServers = 11;
inline constexpr int kServersPerRack = 3;
inline constexpr int kDomains = 3;
inline constexpr int kEntries = 3;
inline constexpr int kSlots = 8;
inline constexpr int kConnections = 64; ///< Limit per server, for all entries.
inline constexpr int kMaxWaiting = 16;  ///< SlotGateLimits' default.

inline constexpr Duration kWarmUp = std::chrono::seconds(15);
inline constexpr Duration kFaultBegin = std::chrono::seconds(20);
inline constexpr Duration kPeakBegin = std::chrono::seconds(20);
inline constexpr Duration kPeakEnd = std::chrono::seconds(40);
inline constexpr Duration kRunTime = std::chrono::seconds(50);

inline constexpr Duration kWithinDomain = std::chrono::microseconds(100);
inline constexpr Duration kMeanService = std::chrono::milliseconds(20);
inline constexpr Duration kDeadline = std::chrono::seconds(3);

/// Time after which an entry gives up on a lost server.
inline constexpr Duration kSilentTimeout = std::chrono::seconds(1);

} // namespace foxtailbarrow::bench
