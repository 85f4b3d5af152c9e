#include "src/platform/store/BatchCommitter.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow {

namespace {

/// Attempts to commit one group when every reply is lost.
constexpr int kMaxCommits = 3;

using Indices = std::vector<std::size_t>;

/// State of a key as read after a write whose reply was lost.
enum class KeyState : std::uint8_t
{
  OwnValue,    ///< The write took effect.
  Unchanged,   ///< It has not taken effect so far.
  Deleted,     ///< This deletion took effect.
  Overwritten, ///< Another writer has changed the key.
};

/// State of a group of writes, which take effect all at once.
enum class GroupState : std::uint8_t
{
  Applied,
  NotYet,
  Unclear,
};

absl::Status KeyConflict(Verdict aVerdict)
{
  return WithVerdict(absl::AbortedError("the key is at a different revision"),
                     aVerdict);
}

absl::Status GuardConflict()
{
  return WithVerdict(
    absl::FailedPreconditionError("the guard condition failed"),
    Verdict::NotRun);
}

KeyState KeyStateOf(const RecordWrite& aRecord,
                    const absl::StatusOr<StoreEntry>& aEntry)
{
  const Revision current = aEntry.ok() ? aEntry->mModRevision : 0;
  if (current == aRecord.mExpected) {
    return KeyState::Unchanged;
  }
  const auto& value = aRecord.mWrite.mValue;
  if (!value) {
    return aEntry.ok() ? KeyState::Overwritten : KeyState::Deleted;
  }
  return aEntry.ok() && aEntry->mValue == *value ? KeyState::OwnValue
                                                 : KeyState::Overwritten;
}

bool Contains(std::span<const StoreCompare> aCompares,
              const StoreCompare& aCompare)
{
  return std::any_of(
    aCompares.begin(), aCompares.end(), [&](const StoreCompare& aOther) {
      return aOther.mKey == aCompare.mKey &&
             aOther.mModRevision == aCompare.mModRevision;
    });
}

std::vector<StoreCompare> GuardsOf(std::span<const RecordWrite> aRecords,
                                   const Indices& aGroup)
{
  std::vector<StoreCompare> guards;
  for (const std::size_t index : aGroup) {
    const auto& guard = aRecords[index].mGuard;
    if (guard && !Contains(guards, *guard)) {
      guards.push_back(*guard);
    }
  }
  return guards;
}

StoreTransaction MakeTransaction(std::span<const RecordWrite> aRecords,
                                 const Indices& aGroup)
{
  StoreTransaction transaction{ GuardsOf(aRecords, aGroup), {} };
  for (const std::size_t index : aGroup) {
    const RecordWrite& record = aRecords[index];
    transaction.mCompares.push_back({ record.mWrite.mKey, record.mExpected });
    transaction.mWrites.push_back(record.mWrite);
  }
  return transaction;
}

/// Whether a single record can cause the refusal of its whole group.
bool MayConcernOneRecord(const absl::Status& aWhy)
{
  return absl::IsInvalidArgument(aWhy) || absl::IsNotFound(aWhy);
}

} // namespace

struct BatchCommitter::ReadBackResult
{
  GroupState mState = GroupState::Unclear;
  Revision mRevision = 0;
  absl::Status mError; ///< Not OK: the store could not be read.
};

BatchCommitter::BatchCommitter(Store& aStore, BatchCounters& aCounters)
  : mStore(aStore)
  , mCounters(aCounters)
{
}

std::vector<BatchCommitter::Outcome> BatchCommitter::CommitAll(
  std::span<const RecordWrite> aRecords)
{
  Work work{ aRecords, {}, {} };
  work.mOutcomes.assign(aRecords.size(), absl::UnknownError("not committed"));
  Indices all(aRecords.size());
  std::iota(all.begin(), all.end(), 0);
  work.mPending.push_back(std::move(all));
  while (!work.mPending.empty()) {
    const Indices group = std::move(work.mPending.back());
    work.mPending.pop_back();
    if (!group.empty()) {
      CommitGroup(work, group);
    }
  }
  return std::move(work.mOutcomes);
}

void BatchCommitter::Work::SetAll(const Indices& aGroup,
                                  const Outcome& aOutcome)
{
  for (const std::size_t index : aGroup) {
    mOutcomes[index] = aOutcome;
  }
}

void BatchCommitter::Work::Split(const Indices& aGroup)
{
  const auto middle =
    aGroup.begin() + static_cast<std::ptrdiff_t>(aGroup.size() / 2);
  mPending.emplace_back(middle, aGroup.end());
  mPending.emplace_back(aGroup.begin(), middle);
}

void BatchCommitter::CommitGroup(Work& aWork, const Indices& aGroup)
{
  const StoreTransaction transaction = MakeTransaction(aWork.mRecords, aGroup);
  absl::Status lost;
  for (int commit = 0; commit < kMaxCommits; ++commit) {
    ++mCounters.mCommits;
    const auto result = mStore.Commit(transaction);
    if (result.ok() && result->mApplied) {
      return aWork.SetAll(aGroup, result->mRevision);
    }
    if (VerdictOf(result.status()) == Verdict::MayHaveRun) {
      lost = result.status();
    }
    if (lost.ok()) {
      return result.ok() ? OnConflict(aWork, aGroup)
                         : OnRefusal(aWork, aGroup, result.status());
    }
    const ReadBackResult readBack = ReadBack(aWork.mRecords, aGroup);
    if (!readBack.mError.ok()) {
      break;
    }
    if (readBack.mState == GroupState::Applied) {
      return aWork.SetAll(aGroup, readBack.mRevision);
    }
    if (readBack.mState == GroupState::Unclear) {
      return aWork.SetAll(aGroup, KeyConflict(Verdict::MayHaveRun));
    }
    // Revisions only grow: a condition that failed once fails for ever, so the
    // lost transaction cannot take effect any more.
    if (result.ok()) {
      return OnConflict(aWork, aGroup);
    }
  }
  aWork.SetAll(aGroup, WithVerdict(lost, Verdict::MayHaveRun));
}

void BatchCommitter::OnConflict(Work& aWork, const Indices& aGroup)
{
  const bool checkGuards =
    aGroup.size() == 1 || aGroup.size() == aWork.mRecords.size();
  if (checkGuards) {
    Indices others = FailGuardedRecords(aWork, aGroup);
    if (others.size() < aGroup.size()) {
      aWork.mPending.push_back(std::move(others));
      return;
    }
  }
  if (aGroup.size() == 1) {
    return aWork.SetAll(aGroup, KeyConflict(Verdict::NotRun));
  }
  ++mCounters.mSplits;
  aWork.Split(aGroup);
}

void BatchCommitter::OnRefusal(Work& aWork,
                               const Indices& aGroup,
                               const absl::Status& aWhy)
{
  if (aGroup.size() == 1 || !MayConcernOneRecord(aWhy)) {
    return aWork.SetAll(aGroup, aWhy);
  }
  ++mCounters.mSplits;
  aWork.Split(aGroup);
}

BatchCommitter::Indices BatchCommitter::FailGuardedRecords(
  Work& aWork,
  const Indices& aGroup)
{
  std::vector<StoreCompare> violated = GuardsOf(aWork.mRecords, aGroup);
  std::erase_if(violated, [&](const StoreCompare& aGuard) {
    return !IsGuardViolated(aGuard);
  });
  Indices others;
  for (const std::size_t index : aGroup) {
    const auto& guard = aWork.mRecords[index].mGuard;
    if (guard && Contains(violated, *guard)) {
      aWork.mOutcomes[index] = GuardConflict();
    } else {
      others.push_back(index);
    }
  }
  return others;
}

bool BatchCommitter::IsGuardViolated(const StoreCompare& aGuard)
{
  const auto entry = mStore.Read(aGuard.mKey);
  if (!entry.ok() && !absl::IsNotFound(entry.status())) {
    return false;
  }
  const Revision current = entry.ok() ? entry->mModRevision : 0;
  return current != aGuard.mModRevision;
}

BatchCommitter::ReadBackResult BatchCommitter::ReadBack(
  std::span<const RecordWrite> aRecords,
  const Indices& aGroup)
{
  ++mCounters.mReadBacks;
  std::size_t deletions = 0;
  for (const std::size_t index : aGroup) {
    const auto entry = mStore.Read(aRecords[index].mWrite.mKey);
    if (!entry.ok() && !absl::IsNotFound(entry.status())) {
      return { GroupState::Unclear, 0, entry.status() };
    }
    switch (KeyStateOf(aRecords[index], entry)) {
      case KeyState::OwnValue:
        return { GroupState::Applied, entry->mModRevision, {} };
      case KeyState::Unchanged:
        return { GroupState::NotYet, 0, {} };
      case KeyState::Deleted:
        ++deletions;
        break;
      case KeyState::Overwritten:
        break;
    }
  }
  const bool done = deletions == aGroup.size();
  return { done ? GroupState::Applied : GroupState::Unclear, 0, {} };
}

} // namespace foxtailbarrow
