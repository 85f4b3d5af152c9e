#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Store.h"
#include "src/platform/store/KeyRange.h"
#include "src/platform/store/KeyValueTable.h"

/// Client side of etcd v3's JSON gateway: encodes requests and decodes replies.
/// A reply that does not follow the published schema is an Internal error.
namespace foxtailbarrow::etcd {

Json::Value EncodeRange(const KeyRange& aRange,
                        std::size_t aLimit,
                        Revision aAt);
Json::Value EncodeTransaction(const StoreTransaction& aTransaction);
/// The gateway uses whole seconds; `aTtl` is rounded up.
Json::Value EncodeGrant(Duration aTtl);
Json::Value EncodeLease(StoreLease aLease);
Json::Value EncodeWatch(const KeyRange& aRange, Revision aFrom);

absl::StatusOr<KeyValuePage> DecodePage(const Json::Value& aReply);
absl::StatusOr<StoreTransactionResult> DecodeTransaction(
  const Json::Value& aReply);
absl::StatusOr<StoreLease> DecodeGrant(const Json::Value& aReply);
/// NotFound when the lease has expired.
absl::StatusOr<Duration> DecodeKeepAlive(const Json::Value& aReply);

/// One line of a watch; no events for a confirmation or a progress report.
/// OutOfRange when the requested changes have been compacted, Unavailable when
/// the server ended the watch.
absl::StatusOr<std::vector<StoreEvent>> DecodeWatchLine(std::string_view aLine);

} // namespace foxtailbarrow::etcd
