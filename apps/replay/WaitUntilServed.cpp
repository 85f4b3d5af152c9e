#include "apps/replay/WaitUntilServed.h"

#include "absl/strings/str_cat.h"
#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/RequestHeaders.h"

namespace foxtailbarrow::replay {

namespace {

constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr unsigned kOk = 200;

/// Empty when the entry serves the customer, else the error.
std::string ProbeError(ReplayContext& aContext,
                       const Endpoint& aEntry,
                       const CustomerId& aCustomer)
{
  net::HttpRequest request;
  request.mTarget = "/ready";
  request.mHeaders.Set(kCustomerHeader, aCustomer.Value());
  request.mHeaders.Set(kDeadlineHeader, "1000");
  const absl::StatusOr<net::HttpResponse> response =
    aContext.mClient.Call(aEntry, request, kCallTimeout);
  if (!response.ok()) {
    return std::string(response.status().message());
  }
  if (response->mStatus == kOk) {
    return {};
  }
  return absl::StrCat(
    "status ",
    response->mStatus,
    ", reason ",
    std::string(response->mHeaders.Find(kReasonHeader).value_or("none")));
}

} // namespace

absl::Status WaitUntilServed(ReplayContext& aContext,
                             const std::set<CustomerId>& aCustomers,
                             Duration aTimeout)
{
  const Instant end = MonotonicNow() + aTimeout;
  for (const Endpoint& entry : aContext.mEntries) {
    for (const CustomerId& customer : aCustomers) {
      std::string error = ProbeError(aContext, entry, customer);
      while (!error.empty() && MonotonicNow() < end) {
        boost::this_fiber::sleep_for(kProbeInterval);
        error = ProbeError(aContext, entry, customer);
      }
      if (!error.empty()) {
        return absl::DeadlineExceededError(absl::StrCat("entry ",
                                                        ToString(entry),
                                                        " does not serve ",
                                                        customer.Value(),
                                                        ": ",
                                                        error));
      }
    }
  }
  return absl::OkStatus();
}

} // namespace foxtailbarrow::replay
