#pragma once

#include <cstddef>

#include <json/value.h>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "src/platform/store/KeyRange.h"

/// The server's side of etcd v3's JSON gateway: our types from requests. Only
/// the parts that a Store uses are understood; every error is InvalidArgument
/// and names the field.
namespace foxtailbarrow::etcd {

struct RangeRequest
{
  KeyRange mRange;
  bool mSingleKey = false;
  std::size_t mLimit = 0; ///< 0 = none.
  Revision mRevision = 0; ///< 0 = latest.
};

struct WatchRequest
{
  KeyRange mRange;
  Revision mStart = 0; ///< First revision to report; 0 = from now on.
};

absl::StatusOr<RangeRequest> DecodeRangeRequest(const Json::Value& aRequest);

/// Compares must be on MOD and EQUAL, operations puts and deletions of single
/// keys, the list of operations for a failed compare empty.
absl::StatusOr<StoreTransaction> DecodeTxnRequest(const Json::Value& aRequest);

/// A put as a transaction without a compare.
absl::StatusOr<StoreTransaction> DecodePutRequest(const Json::Value& aRequest);

/// The time to live that a grant asks for.
absl::StatusOr<Duration> DecodeGrantRequest(const Json::Value& aRequest);

/// The lease that a keep-alive or a revocation names.
absl::StatusOr<StoreLease> DecodeLeaseRequest(const Json::Value& aRequest);

absl::StatusOr<WatchRequest> DecodeWatchRequest(const Json::Value& aRequest);

} // namespace foxtailbarrow::etcd
