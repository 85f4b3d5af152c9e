#pragma once

#include <array>
#include <functional>
#include <string>

#include "apps/agent/AgentSettings.h"
#include "apps/agent/ErrorResponse.h"
#include "apps/agent/ForwardedRequest.h"
#include "foxtailbarrow/Messages.h"
#include "src/core/agent/IdempotencyRegister.h"
#include "src/core/agent/RequestRegister.h"
#include "src/core/agent/SlotGate.h"
#include "src/net/HttpClient.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow {

/// Forwards callers' requests to the backend server if the request id and the
/// idempotency key are new and a slot is free.
///
/// Guarantees: each request gets one final response as soon as it is decided;
/// an error's verdict is exact (NotRun only if no byte of the request reached
/// the backend server); a complete response of the backend server passes
/// unchanged except for the system's own headers. Safe for use by any number of
/// fibers and threads.
class Forwarder
{
public:
  /// Called after each request that held a slot, with the time it was held and
  /// the slots in use at its start.
  using OnServed = std::function<void(Duration aHeld, std::int32_t aInUse)>;

  Forwarder(const AgentSettings& aSettings,
            net::HttpClient& aClient,
            Metrics& aMetrics,
            Instant aStart);

  void SetOnServed(OnServed aOnServed) { mOnServed = std::move(aOnServed); }

  net::HttpResponse Forward(net::HttpRequest& aRequest);

  /// See RequestRegister::Revoke(), and IdempotencyRegister::Revoke() if
  /// `aRevoke` names a key.
  RevokeReply Revoke(const foxtailbarrow::Revoke& aRevoke);

  /// Accepts or refuses new requests.
  void SetOpen(bool aOpen) { mOpen.store(aOpen, std::memory_order_relaxed); }

  SlotLoad Load() const { return mGate.Load(); }
  std::size_t RememberedRequests() const { return mRequests.Size(); }

private:
  /// A response, and the verdict to record in the registers.
  struct Outcome
  {
    Verdict mVerdict = Verdict::NotRun;
    net::HttpResponse mResponse;
  };

  net::HttpResponse Admit(net::HttpRequest& aRequest,
                          const ForwardedRequest& aForwarded);
  Outcome Run(net::HttpRequest& aRequest, const ForwardedRequest& aForwarded);
  Outcome RunKeyed(net::HttpRequest& aRequest,
                   const ForwardedRequest& aForwarded);
  Outcome RunInSlot(net::HttpRequest& aRequest,
                    const ForwardedRequest& aForwarded);
  std::optional<ErrorCause> TakeSlot(Instant aDeadline);
  Outcome CallBackend(net::HttpRequest& aRequest, Instant aDeadline);
  Outcome Fail(const ErrorCause& aCause);
  ErrorCause CauseOf(const absl::Status& aError) const;

  const Endpoint mBackend;
  const Duration mDefaultDeadline;
  net::HttpClient& mClient;
  RequestRegister mRequests;
  IdempotencyRegister mKeys;
  SlotGate mGate;
  OnServed mOnServed;
  std::atomic<bool> mOpen{ false };
  std::array<prometheus::Counter*, 3> mByVerdict; ///< Index: Verdict.
};

} // namespace foxtailbarrow
