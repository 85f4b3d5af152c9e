#pragma once

#include <string>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::bench {

/// What one run does to eleven backend servers, three to a rack, behind three
/// entries, one in each failure domain.
struct Scenario
{
  std::string mName;
  double mLoad = 0.6;        ///< Share of all slots, on average, at the start.
  double mPeakLoad = 0.6;    ///< From kPeakBegin to kPeakEnd, with ramps.
  double mSlowFactor = 1;    ///< Service time of server 0 from kFaultBegin on.
  bool mFails = false;       ///< Server 0 answers 500 at once from then on.
  int mLostRacks = 0;        ///< Racks that vanish then.
  bool mLosesDomain = false; ///< The failure domain of server 0 vanishes.
  double mIdempotentShare = 0.5;
  double mKeyedShare = 0; ///< Of the requests that are not idempotent.
  double mSigma = 1.0;    ///< Of the log of service times.
  Duration mBetweenDomains = std::chrono::microseconds(500); ///< One way.
};

inline constexpr int kServers = 11;
inline constexpr int kServersPerRack = 3;
inline constexpr int kDomains = 3;
inline constexpr int kEntries = 3;
inline constexpr int kSlots = 8;
inline constexpr int kConnections = 64; ///< A server takes, from all entries.
inline constexpr int kMaxWaiting = 16;  ///< SlotGateLimits' default.

inline constexpr Duration kWarmUp = std::chrono::seconds(15);
inline constexpr Duration kFaultBegin = std::chrono::seconds(20);
inline constexpr Duration kPeakBegin = std::chrono::seconds(20);
inline constexpr Duration kPeakEnd = std::chrono::seconds(40);
inline constexpr Duration kRunTime = std::chrono::seconds(50);

inline constexpr Duration kWithinDomain = std::chrono::microseconds(100);
inline constexpr Duration kMeanService = std::chrono::milliseconds(20);
inline constexpr Duration kDeadline = std::chrono::seconds(3);

/// An entry notices after this time that a vanished server does not answer.
inline constexpr Duration kSilentTimeout = std::chrono::seconds(1);

} // namespace foxtailbarrow::bench
