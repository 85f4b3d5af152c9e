#include "src/core/membership/HeartbeatSchedule.h"

#include <algorithm>

#include "src/core/retry/Jitter.h"

namespace foxtailbarrow {

namespace {

/// Initial value of the moving average.
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
  std::vector<ScheduledEntry> schedule;
  schedule.reserve(aEntries.size());
  for (const Endpoint& entry : aEntries) {
    const auto known =
      std::ranges::find(mSchedule, entry, &ScheduledEntry::mEntry);
    const bool isNew = known == mSchedule.end();
    const Instant first =
      aNow + Jitter(Duration::zero(), mSettings.mMinInterval, aRandom);
    schedule.push_back({ entry, isNew ? first : known->mDue, isNew });
  }
  mSchedule = std::move(schedule);
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
  for (ScheduledEntry& entry : mSchedule) {
    if (entry.mDue > aNow) {
      continue;
    }
    due.push_back(entry.mEntry);
    // The second heartbeat is spread over the whole interval.
    entry.mDue =
      aNow +
      (entry.mIsFirst ? Jitter(Duration::zero(), interval, aRandom) : interval);
    entry.mIsFirst = false;
  }
  return due;
}

Instant HeartbeatSchedule::NextDue() const
{
  Instant next = Instant::max();
  for (const ScheduledEntry& entry : mSchedule) {
    next = std::min(next, entry.mDue);
  }
  return next;
}

void HeartbeatSchedule::MakeAllDue(Instant aNow)
{
  for (ScheduledEntry& entry : mSchedule) {
    entry.mDue = std::min(entry.mDue, aNow);
  }
}

} // namespace foxtailbarrow
