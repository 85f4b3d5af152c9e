#pragma once

#include "absl/status/status.h"

#include "src/net/HttpMessage.h"
#include "src/platform/store/StoreCall.h"

namespace foxtailbarrow::etcd {

/// The error, with its verdict, that a reply other than 200 stands for. The
/// gateway reports a gRPC code in the body; the HTTP status decides when it
/// does not.
///
/// NotRun for every read, for every refusal before the call was proposed
/// (malformed, not found, over a ceiling, no leader). Any other error of a
/// write is MayHaveRun: the gateway answers 503 also for a proposal whose fate
/// it does not know.
absl::Status ErrorOf(const net::HttpResponse& aReply, StoreCall aCall);

/// `aStatus` with NotRun when `aCall` changes nothing; unchanged otherwise.
absl::Status WithVerdictOfCall(absl::Status aStatus, StoreCall aCall);

} // namespace foxtailbarrow::etcd
