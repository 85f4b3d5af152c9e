#pragma once

#include <chrono>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Change of the worker's state that a failed poll shows.
enum class LivenessChange : std::uint8_t
{
  None,
  Silent, ///< It may still run.
  Ended,  ///< Its process has ended, with all that it ran.
};

/// Tracks whether the worker's incarnation answers its agent. Pure.
class WorkerLiveness
{
public:
  /// A worker that answers no poll for this long counts as silent.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(1200);
  /// A worker whose machine refuses this many connections in a row, or answers
  /// as another incarnation, has ended: no other process listens there, and a
  /// worker that is partitioned, hangs or is overloaded does not answer at all.
  static constexpr int kRefusalsToEnd = 2;

  /// An incarnation begins.
  void Begin(Instant aNow);

  /// The worker answered a poll. Returns false if it did not answer before.
  bool OnPoll(Instant aNow);
  /// The worker answered a call other than a poll.
  void OnCallAnswered(Instant aNow) { mLastAnswerAt = aNow; }
  LivenessChange OnPollFailed(bool aRefused, Instant aNow);

  bool Answers() const { return mAnswers; }
  bool Ended() const { return mEnded; }
  /// Time of the newest answer to any call.
  Instant LastAnswerAt() const { return mLastAnswerAt; }

private:
  Instant mPolledAt{}; ///< Time of the newest answer to a poll.
  Instant mLastAnswerAt{};
  bool mAnswers = false;
  bool mEnded = false;
  int mRefusals = 0; ///< Connections refused in a row.
};

} // namespace foxtailbarrow::cell
