#pragma once

#include <memory>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Time.h"
#include "src/core/job/JobEntry.h"

namespace foxtailbarrow {

/// The jobs of the owned shards by id, each with one timer. Pointers to entries
/// stay valid until they are erased.
class JobTable
{
public:
  JobEntry* Find(const JobId& aJob);
  const JobEntry* Find(const JobId& aJob) const;

  /// Adds a job that the table does not contain yet.
  JobEntry& Insert(ShardId aShard, StoredJob aJob);
  void Erase(const JobId& aJob);

  /// Sets the entry's timer, replacing the previous one.
  void SetTimer(JobEntry& aEntry, Instant aAt);

  /// Returns an entry whose timer is due and clears the timer; nullptr if there
  /// is none.
  JobEntry* PopDue(Instant aNow);

  std::vector<JobId> JobsOf(ShardId aShard) const;
  std::size_t Size() const { return mEntries.size(); }

  template<typename Visitor>
  void ForEach(Visitor&& aVisitor) const
  {
    for (const auto& [job, entry] : mEntries) {
      aVisitor(*entry);
    }
  }

private:
  struct Timer
  {
    Instant mAt;
    std::uint64_t mSerial;
    JobEntry* mEntry;

    bool operator<(const Timer& aOther) const
    {
      return mAt != aOther.mAt ? mAt < aOther.mAt : mSerial < aOther.mSerial;
    }
  };

  void Cancel(JobEntry& aEntry);

  absl::flat_hash_map<JobId, std::unique_ptr<JobEntry>> mEntries;
  absl::btree_set<Timer> mTimers;
  std::uint64_t mLastSerial = 0;
};

} // namespace foxtailbarrow
