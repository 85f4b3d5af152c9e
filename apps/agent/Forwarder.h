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

/// The path of a caller's request through the agent: is its id new, is its
/// idempotency key new, is there a slot; then the backend server answers.
///
/// Promises: each request gets one final answer at once when it is decided; an
/// error's verdict is exact (NotRun only where no byte of the request reached
/// the backend server); a whole answer of the backend server passes unchanged
/// but for the system's own headers. Safe for use by any number of fibers and
/// threads.
class Forwarder
{
public:
  /// Called after each request that held a slot: the time that it was held, and
  /// the slots in use as it began.
  using OnServed = std::function<void(Duration aHeld, std::int32_t aInUse)>;

  Forwarder(const AgentSettings& aSettings,
            net::HttpClient& aClient,
            Metrics& aMetrics,
            Instant aStart);

  void SetOnServed(OnServed aOnServed) { mOnServed = std::move(aOnServed); }

  net::HttpResponse Forward(net::HttpRequest& aRequest);

  /// See RequestRegister::Revoke(), and IdempotencyRegister::Revoke() where the
  /// question names a key.
  RevokeReply Revoke(const foxtailbarrow::Revoke& aQuestion);

  /// Refuses new requests, or takes them again.
  void SetOpen(bool aOpen) { mOpen.store(aOpen, std::memory_order_relaxed); }

  SlotLoad Load() const { return mGate.Load(); }
  std::size_t RememberedRequests() const { return mRequests.Size(); }

private:
  /// An answer, and what the registers must remember of the attempt.
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
