#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "foxtailbarrow/Store.h"
#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow {

/// Matches a store reply to its request.
using CallId = std::uint64_t;

struct GrantLeaseCall
{
  Duration mTtl{};
};

struct KeepAliveCall
{
  StoreLease mLease = 0;
};

struct RevokeLeaseCall
{
  StoreLease mLease = 0;
};

struct ListCall
{
  std::string mPrefix;
};

struct CommitCall
{
  StoreTransaction mTransaction;
};

using StoreCommand = std::
  variant<GrantLeaseCall, KeepAliveCall, RevokeLeaseCall, ListCall, CommitCall>;

struct LeaseGranted
{
  StoreLease mLease = 0;
};

struct LeaseKept
{};

/// The store does not know the lease: it expired or was revoked.
struct LeaseNotFound
{};

struct LeaseRevoked
{};

struct CallFailed
{
  Verdict mVerdict = Verdict::MayHaveRun;
};

using StoreResult = std::variant<CallFailed,
                                 LeaseGranted,
                                 LeaseKept,
                                 LeaseNotFound,
                                 LeaseRevoked,
                                 StoreListing,
                                 StoreTransactionResult>;

/// Requests one call of the Store interface from the shell.
struct StoreRequest
{
  CallId mId = 0;
  StoreCommand mCall;
};

/// The result of a StoreRequest. Every request gets one reply; the shell bounds
/// each call by a timeout, after which it replies CallFailed with MayHaveRun.
struct StoreReply
{
  CallId mId = 0;
  StoreResult mResult;
};

/// Generates call ids that are unique within the process.
class CallIdGenerator
{
public:
  CallId Next() { return ++mLast; }

private:
  CallId mLast = 0;
};

} // namespace foxtailbarrow
