#pragma once

#include <cstdint>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Store.h"

/// Messages between entries about the tenures under which shards are held,
/// carried by JSON-RPC 2.0. A tenure is one unbroken membership of an entry
/// under one store lease and covers all shards that it holds by that lease.
namespace foxtailbarrow {

/// `entry.attest`, owner to voter, while the owner cannot reach the store: do
/// you know of nobody who ended my tenure?
struct AttestRequest
{
  EntryId mOwner;
  StoreLease mTenure = 0;
  std::uint64_t mSequence = 0; ///< Names the sending; echoed.
};

struct AttestReply
{
  EntryId mVoter;
  StoreLease mTenure = 0;
  std::uint64_t mSequence = 0;
  bool mAttested = false;
};

/// `entry.promise`, successor to voter, once the store shows these tenures
/// ended: never attest them again.
struct PromiseRequest
{
  EntryId mSuccessor;
  std::vector<StoreLease> mTenures;
  std::uint64_t mSequence = 0; ///< Names the sending; echoed.
};

/// Promises every tenure of the request.
struct PromiseReply
{
  EntryId mVoter;
  std::vector<StoreLease> mTenures;
  std::uint64_t mSequence = 0;
};

} // namespace foxtailbarrow
