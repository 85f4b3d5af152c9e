#pragma once

#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::ctl {

/// Calls one of several entries. Tries the next one if the call certainly did
/// not run, or after a lost reply if repeating is safe.
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
