#pragma once

#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::ctl {

/// Calls any one of several entries: goes on to the next where the call did
/// certainly not run, and after a lost reply where repeating is safe.
class EntryCaller
{
public:
  EntryCaller(net::HttpClient& aClient,
              std::vector<Endpoint> aEntries,
              Duration aTimeout);

  /// `aRepeatable`: GET, DELETE, or a POST with an idempotency key.
  absl::StatusOr<net::HttpResponse> Call(const net::HttpRequest& aRequest,
                                         bool aRepeatable);

private:
  net::HttpClient& mClient;
  const std::vector<Endpoint> mEntries;
  const Duration mTimeout;
};

} // namespace foxtailbarrow::ctl
