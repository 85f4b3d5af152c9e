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

/// Kinds of work that use an owner's processor time.
enum class OwnerWork : std::uint8_t
{
  Text,    ///< Encoding and decoding messages of other processes.
  Reports, ///< Applying reports of agents to the state of the workers.
  Rounds,  ///< Scheduling rounds.
  Records, ///< Encoding job progress for the store.
  Logs,    ///< Log lines of decisions; included in Rounds and Records.
};
inline constexpr std::size_t kOwnerWorks = 5;

std::string_view ToString(OwnerWork aWork);

/// Waiting times that grow when an owner falls behind.
enum class OwnerWait : std::uint8_t
{
  Loop,   ///< A ready fiber, until it runs.
  Report, ///< An agent, until its report is answered.
  Order,  ///< A task, from the decision to its agent's answer.
  Record, ///< A job's progress, ends included, until it is saved.
};
inline constexpr std::size_t kOwnerWaits = 4;

std::string_view ToString(OwnerWait aWait);

/// An owner's work over one interval.
struct OwnerLoadSummary
{
  Duration mInterval{};
  std::array<Duration, kOwnerWorks> mSpent{};
  Duration mProcessor{}; ///< Of the whole process, user and system time.
  std::array<Duration, kOwnerWaits> mLongest{};
  std::int64_t mReports = 0;
  std::int64_t mRounds = 0;
  Duration mLongestRound{};
  /// Requests for a round that came before RoundPacing allowed one.
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

/// Shares of one core by kind of work, in thousandths, for a log line. `rest`
/// is the time of no kind: the kernel, HTTP, other requests.
std::string SharesText(const OwnerLoadSummary& aSummary);
/// The longest waits in milliseconds, for a log line.
std::string WaitsText(const OwnerLoadSummary& aSummary);

/// Accounts for an owner's work and for what waits for it. Does no I/O; times
/// are passed in.
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
