#pragma once

#include <span>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "src/platform/store/BatchCounters.h"
#include "src/platform/store/RecordWrite.h"

namespace foxtailbarrow {

/// Writes a batch of records in as few transactions as possible and determines
/// the outcome of each record.
///
/// A transaction is atomic, so one record whose condition fails would fail all:
/// such a batch is bisected until all other records are applied. After a lost
/// reply the keys are read back: one record with its new value shows that all
/// were applied; an unchanged one shows that none was so far, and the same
/// transaction is sent again under the same conditions, so that it cannot take
/// effect twice.
class BatchCommitter
{
public:
  using Outcome = absl::StatusOr<Revision>;

  /// Both references must outlive this object.
  BatchCommitter(Store& aStore, BatchCounters& aCounters);

  /// Returns the outcomes in the order of `aRecords`, whose keys are distinct:
  /// the revision of the write (0 for a deletion confirmed by reading back), or
  /// - Aborted, NotRun: the key did not have the expected revision;
  /// - FailedPrecondition, NotRun: the guard condition failed;
  /// - Aborted, MayHaveRun: the reply was lost and the key was written by
  ///   another writer since;
  /// - the store's own error with its verdict. MayHaveRun means that the write
  ///   was not found, but may still take effect.
  ///
  /// Not covered: a delayed write of a record that must not exist, while
  /// another writer creates and deletes the key.
  std::vector<Outcome> CommitAll(std::span<const RecordWrite> aRecords);

private:
  using Indices = std::vector<std::size_t>;

  /// State of a group as read from the store after a lost reply.
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
