#pragma once

#include <cstddef>

#include <json/value.h>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "src/platform/store/KeyRange.h"

/// Decodes requests of etcd v3's JSON gateway, limited to what a Store uses.
/// Every error is InvalidArgument and names the field.
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
  Revision mStart = 0; ///< First revision to report; 0 = the next one.
};

absl::StatusOr<RangeRequest> DecodeRangeRequest(const Json::Value& aRequest);

/// Compares must test MOD for EQUAL, operations must be puts and deletions of
/// single keys, and the failure list must be empty.
absl::StatusOr<StoreTransaction> DecodeTxnRequest(const Json::Value& aRequest);

/// Decodes a put into a transaction without a compare.
absl::StatusOr<StoreTransaction> DecodePutRequest(const Json::Value& aRequest);

/// The requested time to live of a lease.
absl::StatusOr<Duration> DecodeGrantRequest(const Json::Value& aRequest);

/// The lease of a keep-alive or a revocation.
absl::StatusOr<StoreLease> DecodeLeaseRequest(const Json::Value& aRequest);

absl::StatusOr<WatchRequest> DecodeWatchRequest(const Json::Value& aRequest);

} // namespace foxtailbarrow::etcd
