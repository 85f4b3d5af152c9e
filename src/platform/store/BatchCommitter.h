#pragma once

#include <span>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "src/platform/store/BatchCounters.h"
#include "src/platform/store/RecordWrite.h"

namespace foxtailbarrow {

/// Writes a batch of records by as few transactions as it can and finds out
/// the outcome of each record.
///
/// A transaction applies as a whole, so that one record whose condition fails
/// would fail all: such a batch is halved until the good ones have been
/// applied. A transaction whose reply was lost is looked for in the store: one
/// record with our value says that all were applied; one that is unchanged says
/// that none was so far, and the same transaction is sent again under the same
/// conditions, so that it cannot take effect twice.
class BatchCommitter
{
public:
  using Outcome = absl::StatusOr<Revision>;

  /// Both references outlive this object.
  BatchCommitter(Store& aStore, BatchCounters& aCounters);

  /// The outcomes in the order of `aRecords`, whose keys are distinct: the
  /// revision of the write (0 for a deletion found done after a lost reply), or
  /// - Aborted, NotRun: the key did not have the expected revision;
  /// - FailedPrecondition, NotRun: the guard did not hold;
  /// - Aborted, MayHaveRun: the reply was lost and another has written since;
  /// - the store's own error with its verdict. MayHaveRun means that the write
  ///   was not seen, but may still take effect.
  ///
  /// Not covered: a record that must not exist, whose write is delayed on the
  /// way while another creates and deletes the key.
  std::vector<Outcome> CommitAll(std::span<const RecordWrite> aRecords);

private:
  using Indices = std::vector<std::size_t>;

  /// What the store shows after a lost reply.
  struct ReadBackResult;

  struct Work
  {
    std::span<const RecordWrite> mRecords;
    std::vector<Outcome> mOutcomes;
    std::vector<Indices> mPending; ///< Groups still to be committed.

    void SetAll(const Indices& aGroup, const Outcome& aOutcome);
    void Split(const Indices& aGroup);
  };

  void CommitGroup(Work& aWork, const Indices& aGroup);
  void OnConflict(Work& aWork, const Indices& aGroup);
  void OnRefusal(Work& aWork, const Indices& aGroup, const absl::Status& aWhy);
  Indices FailGuardedRecords(Work& aWork, const Indices& aGroup);
  bool IsGuardViolated(const StoreCompare& aGuard);
  ReadBackResult ReadBack(std::span<const RecordWrite> aRecords,
                          const Indices& aGroup);

  Store& mStore;
  BatchCounters& mCounters;
};

} // namespace foxtailbarrow
