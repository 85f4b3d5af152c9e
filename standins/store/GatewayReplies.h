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
/// A time to live of zero says that the lease has lapsed.
Json::Value EncodeKeepAliveReply(StoreLease aLease, Duration aTtl);
Json::Value EncodeEmptyReply();

/// Lines of a watch.
Json::Value EncodeWatchCreated();
Json::Value EncodeWatchEvents(const std::vector<StoreEvent>& aEvents);
Json::Value EncodeWatchCanceled(Revision aStart);
Json::Value EncodeError(const absl::Status& aError);

net::HttpResponse JsonResponse(unsigned aStatus, const Json::Value& aBody);

/// The response for a call that was refused. A call whose reply is to be lost,
/// and every call in an outage, gets a response of status 0: the server closes
/// the connection without an answer.
net::HttpResponse ErrorResponse(const absl::Status& aError);

} // namespace foxtailbarrow::etcd
