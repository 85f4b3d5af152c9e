#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "src/core/cell/CellMessages.h"
#include "src/core/cell/JobGraph.h"
#include "src/core/cell/crashes/CrashHistory.h"

/// Records that the cell keeps in the store, and their keys.
namespace foxtailbarrow::cell {

/// `j/<id>`: written by the scheduler that accepted the job, and again when the
/// job is cancelled.
struct StoredJob
{
  JobGraph mGraph;
  std::int64_t mAcceptedUnixMs = 0;
  bool mCancelled = false;

  bool operator==(const StoredJob&) const = default;
};

/// A record without steps: its job was cancelled before any submission of it
/// was stored. While it is there, a submission that is still on its way cannot
/// take effect. Under a lease, which bounds their number.
StoredJob MakeTombstone(const JobId& aJob, std::int64_t aUnixMs);
bool IsTombstone(const StoredJob& aJob);

/// `cell.changed`: a scheduler sends the owner the record that it has just
/// written. Only saves time: the owner's watch reports the same change.
struct RecordChanged
{
  StoredJob mJob;
};

struct RecordChangedReply
{
  bool mFull = false; ///< The owner has no memory for more jobs.
};

/// Failed runs of a task. Numbers rather than a count, so that an end that is
/// reported again after a change of owner counts once.
struct StoredFailures
{
  std::int32_t mIndex = 0;
  std::vector<RunNumber> mRuns;

  bool operator==(const StoredFailures&) const = default;
};

struct StoredCheckpoint
{
  std::int32_t mIndex = 0;
  std::string mCheckpoint;

  bool operator==(const StoredCheckpoint&) const = default;
};

/// Worker crashes that are evidence against a task, by run, and its newest
/// start (CrashHistory).
struct StoredCrashes
{
  std::int32_t mIndex = 0;
  CrashHistory::Runs mRuns;
  RunNumber mClearedTo = 0;
  RunNumber mUnsettledStart = 0; ///< Newest start that is not settled.

  bool operator==(const StoredCrashes&) const = default;
};

/// Saved progress of the tasks of one step.
struct StoredStep
{
  std::int32_t mOccurrence = 0;
  std::int32_t mStep = 0;
  std::string mDone; ///< One character per task: '1' = done, '0' = not.
  std::vector<StoredFailures> mFailures;
  std::vector<StoredCheckpoint> mCheckpoints;
  std::vector<StoredCrashes> mCrashes{};

  bool operator==(const StoredStep&) const = default;
};

/// `p/<id>`: written by the owner before it acknowledges the ends that the
/// record includes. Steps with nothing to save are omitted.
struct StoredProgress
{
  JobPhase mPhase = JobPhase::Queued;
  std::int64_t mEndedUnixMs = 0; ///< 0 = not ended.
  std::vector<StoredStep> mSteps;
  /// Occurrences all of whose steps are done, as IndexRanges::Flat(). Their
  /// steps are omitted.
  std::vector<std::int32_t> mDoneOccurrences{};

  bool operator==(const StoredProgress&) const = default;
};

/// Phase of a job by the records alone. Only the owner's progress record makes
/// it final: the job may have ended before its cancellation reached the owner,
/// so that a cancellation in the store does not determine how it ends.
JobPhase SavedPhase(const std::optional<StoredProgress>& aProgress);

/// `owner`, under a lease: the current owner of the cell.
struct OwnerRecord
{
  EntryId mScheduler;
  Endpoint mEndpoint;
  Generation mGeneration = 0;
  std::int64_t mToken = 0; ///< Identifies the owner's own writes.
};

/// Largest generation of a record: sessions and runs are derived from it.
inline constexpr Generation kMaxGeneration = Generation{ 1 } << 30U;

/// `cell`, under no lease: the newest generation. Every write of the owner
/// depends on its revision.
struct CellRecord
{
  Generation mGeneration = 0;
  EntryId mScheduler;
  std::int64_t mToken = 0;
};

/// `a/<id>`: an agent that may run tasks, written before its first one.
struct AgentContact
{
  Endpoint mEndpoint;
  /// Nothing is started there any more until the record is written again.
  bool mClosed = false;
  /// In a closed record: every task that may run there, or that has an end
  /// there that is not saved (recovery/RecordClosing.h).
  std::vector<TaskRef> mTasks;
};

/// Under no lease: a LearnedInterference, written every few seconds by the
/// owner. Only saves time for the next owner: it may be outdated or absent.
inline constexpr std::string_view kLearnedKey = "foxtailbarrow/learned";
/// Interval of its writes, the first of which follows the takeover by as much.
/// Pairs are learned over seconds, and at this interval the writes are 1% of an
/// owner's.
inline constexpr Duration kLearnedSaveInterval = std::chrono::seconds(5);
/// How long a call that the store did not answer may still be carried out, with
/// a reserve: the store says "seconds".
inline constexpr Duration kLateCallTime = std::chrono::seconds(30);
/// Longest record of a job; stores limit the size of a value.
inline constexpr std::size_t kMaxJobRecordBytes = 512UL * 1024;
inline constexpr std::string_view kOwnerKey = "foxtailbarrow/owner";
inline constexpr std::string_view kCellKey = "foxtailbarrow/cell";
inline constexpr std::string_view kJobPrefix = "foxtailbarrow/j/";
inline constexpr std::string_view kProgressPrefix = "foxtailbarrow/p/";
inline constexpr std::string_view kAgentPrefix = "foxtailbarrow/a/";

std::string JobKey(const JobId& aJob);
std::string ProgressKey(const JobId& aJob);
std::string AgentKey(const AgentId& aAgent);

/// The part of a key after its prefix.
std::string_view KeyName(std::string_view aKey, std::string_view aPrefix);

} // namespace foxtailbarrow::cell
