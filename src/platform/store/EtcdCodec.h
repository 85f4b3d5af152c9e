#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "src/platform/store/KeyRange.h"
#include "src/platform/store/KeyValueTable.h"

/// The client's side of etcd v3's JSON gateway: requests from our types, our
/// types from replies. A reply that does not have the published shape is an
/// Internal error.
namespace foxtailbarrow::etcd {

Json::Value EncodeRange(const KeyRange& aRange,
                        std::size_t aLimit,
                        Revision aAt);
Json::Value EncodeTransaction(const StoreTransaction& aTransaction);
/// The gateway counts whole seconds; `aTtl` is rounded up.
Json::Value EncodeGrant(Duration aTtl);
Json::Value EncodeLease(StoreLease aLease);
Json::Value EncodeWatch(const KeyRange& aRange, Revision aFrom);

absl::StatusOr<KeyValuePage> DecodePage(const Json::Value& aReply);
absl::StatusOr<StoreTransactionResult> DecodeTransaction(
  const Json::Value& aReply);
absl::StatusOr<StoreLease> DecodeGrant(const Json::Value& aReply);
/// NotFound when the reply says that the lease has lapsed.
absl::StatusOr<Duration> DecodeKeepAlive(const Json::Value& aReply);

/// One line of a watch; no events for one that only confirms or reports
/// progress. OutOfRange when the changes asked for are no longer in history,
/// Unavailable when the server ended the watch.
absl::StatusOr<std::vector<StoreEvent>> DecodeWatchLine(std::string_view aLine);

} // namespace foxtailbarrow::etcd
