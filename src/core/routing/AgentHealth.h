#pragma once

#include <atomic>
#include <cstdint>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

enum class HealthState : std::uint8_t
{
  Admitted,
  Ejected, ///< Gets nothing until its time is over, then single probes.
};

/// What one entry saw of the answers of one agent incarnation. The counts are
/// written by every request; the state is changed by OutlierDetector alone.
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
  std::atomic<Duration> mEjectionTime{ Duration{} }; ///< Of the latest.
  std::atomic<Reason> mReason{ Reason::None };       ///< Of the latest.
  /// Until then a probe may be in flight and no other is sent.
  std::atomic<Instant> mProbeUntil{ Instant::min() };
  std::atomic<std::uint32_t> mProbeSuccesses{ 0 };

  // Touched by OutlierDetector::Evaluate() alone.
  std::uint32_t mSlowWindows = 0; ///< In a row.
  Duration mMeanLatency{};        ///< Of the latest window; 0 = none yet.
};

} // namespace foxtailbarrow
