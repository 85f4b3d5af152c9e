#pragma once

#include <chrono>
#include <cstdint>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// What an agent learns from a look at its worker that failed.
enum class LivenessChange : std::uint8_t
{
  None,
  Silent, ///< It may run on.
  Ended,  ///< Its process is gone, with all that it ran.
};

/// Whether the worker's incarnation answers its agent. Pure.
class WorkerLiveness
{
public:
  /// Without an answer to a look for so long, the worker counts as silent.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(1200);
  /// A worker whose machine refuses so many connections in a row has ended: no
  /// other process listens there, and a worker that is cut off, hangs or is
  /// overloaded does not answer at all.
  static constexpr int kRefusalsToEnd = 2;

  /// An incarnation begins.
  void Begin(Instant aNow);

  /// False when it did not answer before.
  bool OnPoll(Instant aNow);
  /// It answered a call that is no look.
  void OnCallAnswered(Instant aNow) { mLastAnswerAt = aNow; }
  LivenessChange OnPollFailed(bool aRefused, Instant aNow);

  bool Answers() const { return mAnswers; }
  bool Ended() const { return mEnded; }
  /// The newest answer to any call.
  Instant LastAnswerAt() const { return mLastAnswerAt; }

private:
  Instant mAnsweredAt{}; ///< The newest answer to a look.
  Instant mLastAnswerAt{};
  bool mAnswers = false;
  bool mEnded = false;
  int mRefusals = 0; ///< Of connections, in a row.
};

} // namespace foxtailbarrow::cell
