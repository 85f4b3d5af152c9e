#include "apps/ctl/EntryCaller.h"

#include <utility>

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow::ctl {

EntryCaller::EntryCaller(net::HttpClient& aClient,
                         std::vector<Endpoint> aEntries,
                         Duration aTimeout)
  : mClient(aClient)
  , mEntries(std::move(aEntries))
  , mTimeout(aTimeout)
{
}

absl::StatusOr<net::HttpResponse> EntryCaller::Call(
  const net::HttpRequest& aRequest,
  bool aRepeatable)
{
  absl::Status last = absl::UnavailableError("no entry given");
  for (const Endpoint& entry : mEntries) {
    absl::StatusOr<net::HttpResponse> response =
      mClient.Call(entry, aRequest, mTimeout);
    if (response.ok()) {
      return response;
    }
    last = response.status();
    if (VerdictOf(last) != Verdict::NotRun && !aRepeatable) {
      break;
    }
  }
  return last;
}

} // namespace foxtailbarrow::ctl
