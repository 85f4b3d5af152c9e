#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "absl/random/bit_gen_ref.h"

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/core/membership/HeartbeatInterval.h"

namespace foxtailbarrow {

/// Decides when an agent sends heartbeats and to which entries. Inputs: the
/// live entries, the measured size of exchanges, the time. Output: the entries
/// that are due. Not thread-safe.
///
/// Every entry gets one heartbeat per interval (HeartbeatInterval()). The first
/// is sent at a random time within the minimum interval, the second within the
/// interval, so that agents that start together do not send together and one
/// agent's heartbeats are spread over the interval. MakeAllDue() is for changes
/// that every entry must receive at once (a drain, the end of a task).
class HeartbeatSchedule
{
public:
  explicit HeartbeatSchedule(HeartbeatSettings aSettings = {});

  /// Sets the live entries. Known ones keep their schedule; new ones are first
  /// due within the minimum interval.
  void SetEntries(std::span<const Endpoint> aEntries,
                  Instant aNow,
                  absl::BitGenRef aRandom);

  /// Updates the moving average with the bytes of one exchange: heartbeat and
  /// reply with all headers.
  void RecordExchangeSize(std::size_t aBytes);

  Duration Interval() const;

  /// Returns the entries that are due and schedules their next heartbeat.
  std::vector<Endpoint> Due(Instant aNow, absl::BitGenRef aRandom);

  /// The earliest time at which Due() returns an entry.
  Instant NextDue() const;

  /// Makes all entries due now, then again one interval later.
  void MakeAllDue(Instant aNow);

private:
  struct ScheduledEntry
  {
    Endpoint mEntry;
    Instant mDue{};
    bool mIsFirst = true;
  };

  HeartbeatSettings mSettings;
  double mBytesPerExchange;
  std::vector<ScheduledEntry> mSchedule;
};

} // namespace foxtailbarrow
