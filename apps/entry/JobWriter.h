#pragma once

#include <variant>

#include "apps/entry/ControlContext.h"
#include "foxtailbarrow/Job.h"
#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow::entry {

/// The record is in the store: the job will run.
struct Submitted
{
  JobRecord mRecord;
};

/// Another job with the same id is in the store.
struct SubmissionConflict
{};

/// Not accepted; the verdict says whether the job may run all the same.
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
  NotSaved, ///< The store did not take it; the job goes on.
};

/// Writes what callers ask for into job records.
///
/// A lost reply is read back. Where the record is not there, the write may
/// still be on its way, so that a record that can never run is written in its
/// place before the caller is told that nothing ran.
class JobWriter
{
public:
  explicit JobWriter(Store& aStore)
    : mStore(aStore)
  {
  }

  SubmissionResult Submit(ShardId aShard, const JobSpec& aSpec);

  /// Records the wish to stop the job; its owner carries it out.
  CancelResult Cancel(ShardId aShard, const JobId& aJob);

private:
  SubmissionResult ReadBack(const std::string& aKey, const JobSpec& aSpec);
  SubmissionResult BlockLateWrite(const std::string& aKey,
                                  const JobSpec& aSpec);
  SubmissionResult ResultOfExisting(const StoreEntry& aEntry,
                                    const JobSpec& aSpec);

  /// A sealed record's submission is repeated: it is accepted after all.
  SubmissionResult Reopen(const StoreEntry& aEntry, const JobSpec& aSpec);

  Store& mStore;
};

} // namespace foxtailbarrow::entry
