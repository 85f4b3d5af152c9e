#pragma once

#include <string>
#include <vector>

#include <json/value.h>

#include "absl/status/status.h"

#include "foxtailbarrow/Store.h"
#include "src/net/HttpMessage.h"
#include "src/platform/store/KeyValueTable.h"

/// Replies of etcd v3's JSON gateway.
namespace foxtailbarrow::etcd {

Json::Value EncodePage(const KeyValuePage& aPage);
Json::Value EncodeTxnReply(const StoreTransactionResult& aResult);
Json::Value EncodeGrantReply(StoreLease aLease, Duration aTtl);
/// A time to live of zero means that the lease has expired.
Json::Value EncodeKeepAliveReply(StoreLease aLease, Duration aTtl);
Json::Value EncodeEmptyReply();

/// Lines of a watch.
Json::Value EncodeWatchCreated();
Json::Value EncodeWatchEvents(const std::vector<StoreEvent>& aEvents);
Json::Value EncodeWatchCanceled(Revision aStart);
Json::Value EncodeError(const absl::Status& aError);

net::HttpResponse JsonResponse(unsigned aStatus, const Json::Value& aBody);

/// The response to a rejected call. Calls whose reply is to be lost, and all
/// calls during an outage, get status 0: the server closes the connection
/// without a response.
net::HttpResponse ErrorResponse(const absl::Status& aError);

} // namespace foxtailbarrow::etcd
