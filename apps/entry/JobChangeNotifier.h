#pragma once

#include <functional>
#include <map>
#include <optional>

#include "apps/entry/ControlContext.h"
#include "foxtailbarrow/Messages.h"

namespace foxtailbarrow::entry {

/// Notifies the owner of a shard that a job's record changed. Retries until an
/// owner confirms, since the shard may be changing owners. Bounded in number
/// and time; beyond that, the owner finds the job when it relists the shard.
/// Pending notifications are lost when the process ends.
class JobChangeNotifier
{
public:
  /// Endpoint of the shard's owner; nullopt if unknown.
  using OwnerOf = std::function<std::optional<Endpoint>(ShardId)>;

  /// Handles the change on this entry; false if it does not own the shard.
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
  std::map<JobId, Instant> mPending; ///< When to give up each one.
  prometheus::Counter& mAbandoned;
};

} // namespace foxtailbarrow::entry
