#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

enum class KvOutage : std::uint8_t
{
  None,
  Silent,  ///< Calls have no effect and get no response.
  Refuses, ///< Calls have no effect and get a 503 response.
};

/// Injected faults of the key-value store of the users' platform.
struct KvFaults
{
  KvOutage mOutage = KvOutage::None;
  bool mLeasesPause = false; ///< Leases do not expire during an outage.
  bool mWatchesGone = false; ///< No watch finds the history that it needs.
  Duration mDelay{};         ///< Added to every response.
  double mLoseShare = 0;     ///< Share of writes applied without a response.
  double mLateShare = 0;     ///< Share of writes applied late, no response.
  Duration mLateBy = std::chrono::milliseconds(1500);
};

} // namespace foxtailbarrow::standin
