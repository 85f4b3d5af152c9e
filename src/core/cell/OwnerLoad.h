#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// Kinds of work that take an owner's processor time.
enum class OwnerWork : std::uint8_t
{
  Text,    ///< Messages of other processes, to and from their text.
  Reports, ///< Reports of agents, into what is known of the workers.
  Rounds,  ///< Rounds of placing.
  Records, ///< Progress of jobs, into the text that is stored.
  Logs,    ///< Lines of decisions; a part of the two kinds before.
};
inline constexpr std::size_t kOwnerWorks = 5;

std::string_view ToString(OwnerWork aWork);

/// What waits longer in an owner that is behind.
enum class OwnerWait : std::uint8_t
{
  Loop,   ///< A fiber that was due.
  Report, ///< An agent, for the reply to a report.
  Order,  ///< A task, from the decision on it to its agent's answer.
  Record, ///< A job's progress, ends included, until the store has it.
};
inline constexpr std::size_t kOwnerWaits = 4;

std::string_view ToString(OwnerWait aWait);

/// An owner's work over one interval.
struct OwnerLoadSummary
{
  Duration mInterval{};
  std::array<Duration, kOwnerWorks> mSpent{};
  Duration mProcessor{}; ///< All of the process, the system's part included.
  std::array<Duration, kOwnerWaits> mLongest{};
  std::int64_t mReports = 0;
  std::int64_t mRounds = 0;
  Duration mLongestRound{};
  /// Wishes for a round that came before one was allowed.
  std::int64_t mRoundsDeferred = 0;

  Duration Spent(OwnerWork aWork) const
  {
    return mSpent[static_cast<std::size_t>(aWork)];
  }
  Duration Longest(OwnerWait aWait) const
  {
    return mLongest[static_cast<std::size_t>(aWait)];
  }
};

/// Shares of one core in thousandths by kind of work, for a log line; `rest` is
/// what no kind accounts for: the kernel, HTTP, other requests.
std::string SharesText(const OwnerLoadSummary& aSummary);
/// The longest waits in milliseconds, for a log line.
std::string WaitsText(const OwnerLoadSummary& aSummary);

/// Accounts for what an owner does and what waits for it. Pure: times are
/// passed in.
class OwnerLoad
{
public:
  void RecordWork(OwnerWork aWork, Duration aSpent)
  {
    mSummary.mSpent[static_cast<std::size_t>(aWork)] += aSpent;
  }
  void RecordWait(OwnerWait aWait, Duration aWaited)
  {
    Duration& longest = mSummary.mLongest[static_cast<std::size_t>(aWait)];
    longest = std::max(longest, aWaited);
  }
  void RecordReport() { ++mSummary.mReports; }
  void RecordRound(Duration aSpent)
  {
    ++mSummary.mRounds;
    mSummary.mLongestRound = std::max(mSummary.mLongestRound, aSpent);
    RecordWork(OwnerWork::Rounds, aSpent);
  }
  void RecordDeferredRound() { ++mSummary.mRoundsDeferred; }

  /// The work since the last summary, once kInterval has passed.
  /// `aProcessor` is the processor time of the process so far.
  std::optional<OwnerLoadSummary> TakeSummary(Instant aNow,
                                              Duration aProcessor);

  static constexpr Duration kInterval = std::chrono::seconds(1);

private:
  OwnerLoadSummary mSummary;
  Instant mSince{};
  Duration mProcessorBefore{};
};

} // namespace foxtailbarrow::cell
