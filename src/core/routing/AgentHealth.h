#pragma once

#include <atomic>
#include <cstdint>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

enum class HealthState : std::uint8_t
{
  Admitted,
  Ejected, ///< Gets nothing until the ejection ends, then single probes.
};

/// Health of one agent incarnation as observed by one entry. The counts are
/// updated by every request, the state only by OutlierDetector.
struct AgentHealth
{
  // Counts.
  std::atomic<std::uint32_t> mConsecutiveFailures{ 0 };
  std::atomic<std::uint32_t> mSuccesses{ 0 };     ///< In the current window.
  std::atomic<std::uint32_t> mFailures{ 0 };      ///< In the current window.
  std::atomic<std::uint64_t> mLatencyMicros{ 0 }; ///< Sum over successes.

  // State.
  std::atomic<HealthState> mState{ HealthState::Admitted };
  std::atomic<Instant> mEjectedUntil{ Instant{} };
  std::atomic<Instant> mReadmittedAt{ Instant::min() };
  /// Length of the latest ejection.
  std::atomic<Duration> mEjectionTime{ Duration{} };
  /// Reason of the latest ejection.
  std::atomic<Reason> mReason{ Reason::None };
  /// Until then a probe may be in flight and no other is sent.
  std::atomic<Instant> mProbeUntil{ Instant::min() };
  std::atomic<std::uint32_t> mProbeSuccesses{ 0 };

  // Used only by OutlierDetector::Evaluate().
  std::uint32_t mSlowWindows = 0; ///< In a row.
  Duration mMeanLatency{};        ///< Of the latest window; 0 = none yet.
};

} // namespace foxtailbarrow
