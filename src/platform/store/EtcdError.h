#pragma once

#include "absl/status/status.h"

#include "src/net/HttpMessage.h"
#include "src/platform/store/StoreCall.h"

namespace foxtailbarrow::etcd {

/// Converts a reply other than 200 to an error with a verdict. The code is the
/// gRPC code in the body, or is derived from the HTTP status without one.
///
/// NotRun for every read and for every refusal before the call was proposed
/// (malformed, not found, rate-limited, no leader). Any other error of a write
/// is MayHaveRun: the gateway also answers 503 for a proposal whose outcome it
/// does not know.
absl::Status ErrorOf(const net::HttpResponse& aReply, StoreCall aCall);

/// `aStatus` with NotRun when `aCall` changes nothing; unchanged otherwise.
absl::Status WithVerdictOfCall(absl::Status aStatus, StoreCall aCall);

} // namespace foxtailbarrow::etcd
