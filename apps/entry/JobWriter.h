#pragma once

#include <variant>

#include "apps/entry/ControlContext.h"
#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow::entry {

/// The record is in the store and the job will run.
struct Submitted
{
  JobRecord mRecord;
};

/// Another job with the same id is in the store.
struct SubmissionConflict
{};

/// Not accepted; the verdict states whether the job may run nevertheless.
struct SubmissionFailed
{
  Verdict mVerdict = Verdict::MayHaveRun;
};

using SubmissionResult =
  std::variant<Submitted, SubmissionConflict, SubmissionFailed>;

enum class CancelResult : std::uint8_t
{
  Accepted,
  AlreadyFinal,
  Unknown,  ///< No such job.
  NotSaved, ///< Not written to the store; the job continues.
};

/// Writes callers' submissions and cancellations into job records.
///
/// After a lost reply, the record is read back. If it does not exist, the write
/// may still be in flight, so a record that can never run is written in its
/// place before the caller is informed that the job did not run.
class JobWriter
{
public:
  explicit JobWriter(Store& aStore)
    : mStore(aStore)
  {
  }

  SubmissionResult Submit(ShardId aShard, const JobSpec& aSpec);

  /// Saves a request to stop the job; the shard's owner stops it.
  CancelResult Cancel(ShardId aShard, const JobId& aJob);

private:
  SubmissionResult ReadBack(const std::string& aKey, const JobSpec& aSpec);
  SubmissionResult BlockLateWrite(const std::string& aKey,
                                  const JobSpec& aSpec);
  SubmissionResult ResultOfExisting(const StoreEntry& aEntry,
                                    const JobSpec& aSpec);

  /// Accepts a repeated submission whose first attempt was blocked.
  SubmissionResult Reopen(const StoreEntry& aEntry, const JobSpec& aSpec);

  Store& mStore;
};

} // namespace foxtailbarrow::entry
