#pragma once

#include <functional>
#include <map>
#include <optional>

#include "apps/entry/ControlContext.h"
#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow::entry {

/// Tells the owner of a shard that a job's record changed, again and again
/// until an owner has taken the word, since the shard may change hands at that
/// moment. Bounded in number and time; beyond that the owner's own listing
/// finds the job. Keeps nothing beyond its process.
class JobHints
{
public:
  /// Where the shard's owner answers; nullopt when none is known.
  using OwnerOf = std::function<std::optional<Endpoint>(ShardId)>;

  /// Takes the word on this entry; false when it does not own the shard.
  using TakeHere = std::function<bool(const JobChanged&)>;

  JobHints(ControlContext& aContext, OwnerOf aOwnerOf, TakeHere aTakeHere);

  void Send(const JobChanged& aHint);

  std::size_t Pending() const { return mPending.size(); }

private:
  void Deliver(const JobChanged& aHint);
  bool TryDeliver(const JobChanged& aHint);

  ControlContext& mContext;
  OwnerOf mOwnerOf;
  TakeHere mTakeHere;
  std::map<JobId, Instant> mPending; ///< Until when each is sent again.
  prometheus::Counter& mGivenUp;
};

} // namespace foxtailbarrow::entry
