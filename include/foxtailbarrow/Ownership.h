#pragma once

#include <cstdint>
#include <vector>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Messages.h"
#include "foxtailbarrow/Store.h"

/// Messages between entries about the tenures under which shards are owned,
/// carried by JSON-RPC 2.0. A tenure is one uninterrupted membership of an
/// entry under one store lease; it covers all shards held with that lease.
namespace foxtailbarrow {

/// `entry.attest`, owner to voter, while the owner cannot reach the store: asks
/// for confirmation that the voter knows of nobody who ended the tenure.
struct AttestRequest
{
  EntryId mOwner;
  StoreLease mTenure = 0;
  std::uint64_t mSequence = 0; ///< Identifies the message; echoed.
};

struct AttestReply
{
  EntryId mVoter;
  StoreLease mTenure = 0;
  std::uint64_t mSequence = 0;
  bool mAttested = false;
};

/// `entry.promise`, successor to voter, after the store showed that these
/// tenures ended: the voter must never attest them again.
struct PromiseRequest
{
  EntryId mSuccessor;
  std::vector<StoreLease> mTenures;
  std::uint64_t mSequence = 0; ///< Identifies the message; echoed.
};

/// Gives the promise for every tenure of the request.
struct PromiseReply
{
  EntryId mVoter;
  std::vector<StoreLease> mTenures;
  std::uint64_t mSequence = 0;
};

} // namespace foxtailbarrow
