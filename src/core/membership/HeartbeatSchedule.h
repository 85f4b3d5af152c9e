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
/// that are due. One thread.
///
/// Every entry gets a heartbeat once an interval (HeartbeatInterval()). Its
/// first turn is drawn at random within the shortest interval, its second
/// within the interval, so that agents that start together do not send
/// together, and one agent's heartbeats spread over the interval. What every
/// entry must hear at once (a drain, a task's end) goes out of turn by
/// MakeAllDue().
class HeartbeatSchedule
{
public:
  explicit HeartbeatSchedule(HeartbeatSettings aSettings = {});

  /// The entries now live. Those already known keep their turn; new ones get a
  /// first turn within the shortest interval.
  void SetEntries(std::span<const Endpoint> aEntries,
                  Instant aNow,
                  absl::BitGenRef aRandom);

  /// Bytes of one exchange, heartbeat and reply with all headers. A mean over
  /// the latest is kept.
  void RecordExchangeSize(std::size_t aBytes);

  Duration Interval() const;

  /// The entries that are due, each once an interval.
  std::vector<Endpoint> Due(Instant aNow, absl::BitGenRef aRandom);

  /// When Due() returns something next.
  Instant NextDue() const;

  /// Makes all entries due now, then again an interval later.
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
