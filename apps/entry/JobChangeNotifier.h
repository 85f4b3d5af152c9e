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
class JobChangeNotifier
{
public:
  /// Where the shard's owner answers; nullopt when none is known.
  using OwnerOf = std::function<std::optional<Endpoint>(ShardId)>;

  /// Takes the word on this entry; false when it does not own the shard.
  using HandleLocally = std::function<bool(const JobChanged&)>;

  JobChangeNotifier(ControlContext& aContext,
                    OwnerOf aOwnerOf,
                    HandleLocally aHandleLocally);

  void Send(const JobChanged& aChange);

  std::size_t Pending() const { return mPending.size(); }

private:
  void Deliver(const JobChanged& aChange);
  bool TryDeliver(const JobChanged& aChange);

  ControlContext& mContext;
  OwnerOf mOwnerOf;
  HandleLocally mHandleLocally;
  std::map<JobId, Instant> mPending; ///< Until when each is sent again.
  prometheus::Counter& mAbandoned;
};

} // namespace foxtailbarrow::entry
