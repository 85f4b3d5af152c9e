#pragma once

#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

enum class KvOutage : std::uint8_t
{
  None,
  Silent,  ///< Nothing is done, nothing is answered.
  Refuses, ///< Nothing is done, 503 is answered.
};

/// What is wrong with a store of the users' platform.
struct KvFaults
{
  KvOutage mOutage = KvOutage::None;
  bool mLeasesPause = false; ///< During an outage; else they run out.
  Duration mDelay{};         ///< Of every answer.
  double mLoseShare = 0;     ///< Of the writes: done, not answered.
  double mLateShare = 0;     ///< Of the writes: not answered, done later.
  Duration mLateBy = std::chrono::milliseconds(1500);
};

} // namespace foxtailbarrow::standin
