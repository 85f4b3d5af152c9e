#include "src/core/membership/HeartbeatSchedule.h"

#include <algorithm>

#include "src/core/retry/Jitter.h"

namespace foxtailbarrow {

namespace {

/// Assumed until the first is measured.
constexpr double kBytesPerExchange = 1500;

/// Weight of the newest size in the mean.
constexpr double kSmoothing = 0.1;

} // namespace

HeartbeatSchedule::HeartbeatSchedule(HeartbeatSettings aSettings)
  : mSettings(aSettings)
  , mBytesPerExchange(kBytesPerExchange)
{
}

void HeartbeatSchedule::SetEntries(std::span<const Endpoint> aEntries,
                                   Instant aNow,
                                   absl::BitGenRef aRandom)
{
  std::vector<Turn> turns;
  turns.reserve(aEntries.size());
  for (const Endpoint& entry : aEntries) {
    const auto known = std::ranges::find(mTurns, entry, &Turn::mEntry);
    const bool isNew = known == mTurns.end();
    const Instant first =
      aNow + Jitter(Duration::zero(), mSettings.mShortest, aRandom);
    turns.push_back({ entry, isNew ? first : known->mDue, isNew });
  }
  mTurns = std::move(turns);
}

void HeartbeatSchedule::Measured(std::size_t aBytes)
{
  mBytesPerExchange +=
    (static_cast<double>(aBytes) - mBytesPerExchange) * kSmoothing;
}

Duration HeartbeatSchedule::Interval() const
{
  return HeartbeatInterval(mSettings, mTurns.size(), mBytesPerExchange);
}

std::vector<Endpoint> HeartbeatSchedule::Due(Instant aNow,
                                             absl::BitGenRef aRandom)
{
  std::vector<Endpoint> due;
  const Duration interval = Interval();
  for (Turn& turn : mTurns) {
    if (turn.mDue > aNow) {
      continue;
    }
    due.push_back(turn.mEntry);
    // The second turn spreads the entries over the whole interval.
    turn.mDue =
      aNow +
      (turn.mIsFirst ? Jitter(Duration::zero(), interval, aRandom) : interval);
    turn.mIsFirst = false;
  }
  return due;
}

Instant HeartbeatSchedule::NextDue() const
{
  Instant next = Instant::max();
  for (const Turn& turn : mTurns) {
    next = std::min(next, turn.mDue);
  }
  return next;
}

void HeartbeatSchedule::Hurry(Instant aNow)
{
  for (Turn& turn : mTurns) {
    turn.mDue = std::min(turn.mDue, aNow);
  }
}

} // namespace foxtailbarrow
