#pragma once

#include <variant>
#include <vector>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Ownership.h"
#include "src/core/ownership/StoreCommand.h"

/// What ShardOwnership takes in and asks for.
namespace foxtailbarrow {

/// Time has passed. Send one at least four times a second.
struct OwnershipTick
{};

/// Release every shard and leave. While the store is out of reach this cannot
/// end; the shell bounds its wait for Drained.
struct OwnershipDrain
{};

using OwnershipEvent = std::
  variant<OwnershipTick, OwnershipDrain, StoreReply, AttestReply, PromiseReply>;

/// This entry now holds the shard: list its jobs, adopt what agents report,
/// start and reassign as MayReassign() allows.
struct ShardGained
{
  ShardId mShard = 0;
  Generation mGeneration = 0;
};

/// This entry holds the shard no longer: drop all state of it.
struct ShardGivenUp
{
  ShardId mShard = 0;
};

/// No task lease is left that an owner before this entry may have granted:
/// MayReassign() turned true for the shard.
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

/// A later process registered under this entry's id: this one must exit.
struct Superseded
{};

/// Every shard is released and the entry's record is gone.
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
