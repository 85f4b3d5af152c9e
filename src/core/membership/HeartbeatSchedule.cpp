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
  std::vector<ScheduledEntry> turns;
  turns.reserve(aEntries.size());
  for (const Endpoint& entry : aEntries) {
    const auto known =
      std::ranges::find(mSchedule, entry, &ScheduledEntry::mEntry);
    const bool isNew = known == mSchedule.end();
    const Instant first =
      aNow + Jitter(Duration::zero(), mSettings.mShortest, aRandom);
    turns.push_back({ entry, isNew ? first : known->mDue, isNew });
  }
  mSchedule = std::move(turns);
}

void HeartbeatSchedule::RecordExchangeSize(std::size_t aBytes)
{
  mBytesPerExchange +=
    (static_cast<double>(aBytes) - mBytesPerExchange) * kSmoothing;
}

Duration HeartbeatSchedule::Interval() const
{
  return HeartbeatInterval(mSettings, mSchedule.size(), mBytesPerExchange);
}

std::vector<Endpoint> HeartbeatSchedule::Due(Instant aNow,
                                             absl::BitGenRef aRandom)
{
  std::vector<Endpoint> due;
  const Duration interval = Interval();
  for (ScheduledEntry& turn : mSchedule) {
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
  for (const ScheduledEntry& turn : mSchedule) {
    next = std::min(next, turn.mDue);
  }
  return next;
}

void HeartbeatSchedule::MakeAllDue(Instant aNow)
{
  for (ScheduledEntry& turn : mSchedule) {
    turn.mDue = std::min(turn.mDue, aNow);
  }
}

} // namespace foxtailbarrow
