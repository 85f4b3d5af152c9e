#pragma once

#include <variant>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Ownership.h"
#include "src/core/ownership/StoreCommand.h"

/// Input events and output actions of ShardOwnership.
namespace foxtailbarrow {

/// Advances time-based work. Send one at least four times a second.
struct OwnershipTick
{};

/// Releases every shard and deregisters the entry. Cannot complete while the
/// store is unreachable, so the shell bounds its wait for Drained.
struct OwnershipDrain
{};

using OwnershipEvent = std::
  variant<OwnershipTick, OwnershipDrain, StoreReply, AttestReply, PromiseReply>;

/// This entry now holds the shard. The shell lists its jobs, adopts the tasks
/// that agents report, and starts and reassigns tasks as MayReassign() allows.
struct ShardGained
{
  ShardId mShard = 0;
  Generation mGeneration = 0;
};

/// This entry no longer holds the shard. The shell discards its state.
struct ShardGivenUp
{
  ShardId mShard = 0;
};

/// Every task lease that an earlier owner may have granted has expired;
/// MayReassign() has become true for the shard.
struct EarlierLeasesExpired
{
  ShardId mShard = 0;
};

struct SendAttest
{
  EntryId mTo;
  Endpoint mEndpoint;
  AttestRequest mRequest;
};

struct SendPromise
{
  EntryId mTo;
  Endpoint mEndpoint;
  PromiseRequest mRequest;
};

/// A later process registered under this entry's id; this one must exit.
struct Superseded
{};

/// Every shard is released and the entry's record is deleted.
struct Drained
{};

using OwnershipAction = std::variant<StoreRequest,
                                     ShardGained,
                                     ShardGivenUp,
                                     EarlierLeasesExpired,
                                     SendAttest,
                                     SendPromise,
                                     Superseded,
                                     Drained>;

using OwnershipActions = std::vector<OwnershipAction>;

} // namespace foxtailbarrow
