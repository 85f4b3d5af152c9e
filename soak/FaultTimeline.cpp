#include "soak/FaultTimeline.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "standins/taskworker/TaskWorkerModel.h"

namespace foxtailbarrow::soak {

namespace {

/// Time after a fault until the affected processes have reconnected.
constexpr Duration kReconnectTime = std::chrono::seconds(3);
/// Fault-free time in which a restarted agent finds the owner and learns from
/// it what runs.
constexpr Duration kResyncTime = std::chrono::seconds(6);
/// Time after the end of a fault until the process runs again.
constexpr Duration kRestartTime = std::chrono::seconds(1);

bool RestartsAgent(FaultKind aKind)
{
  return aKind == FaultKind::KillAgent || aKind == FaultKind::TermAgent ||
         aKind == FaultKind::KillAll;
}

bool AffectsWorker(FaultKind aKind)
{
  switch (aKind) {
    case FaultKind::PauseAgent:
    case FaultKind::AgentLink:
    case FaultKind::WorkerCrashes:
    case FaultKind::WorkerLeaves:
    case FaultKind::WorkerMute:
    case FaultKind::WorkerFailsAll:
    case FaultKind::WorkerLate:
      return true;
    default:
      return RestartsAgent(aKind);
  }
}

bool TakesStoreAway(FaultKind aKind)
{
  return aKind == FaultKind::StoreSilent ||
         aKind == FaultKind::StoreSilentLeasesPause ||
         aKind == FaultKind::StoreRefuses || aKind == FaultKind::StoreSlow;
}

/// "worker3-2" is the second incarnation of worker 3.
unsigned WorkerOf(std::string_view aIncarnation)
{
  unsigned worker = 0;
  const std::size_t digits = aIncarnation.find_first_of("0123456789");
  if (digits != std::string_view::npos) {
    std::from_chars(aIncarnation.data() + digits,
                    aIncarnation.data() + aIncarnation.size(),
                    worker);
  }
  return worker;
}

} // namespace

FaultTimeline::FaultTimeline(const std::vector<Fault>& aPlan,
                             Instant aStart,
                             std::int64_t aWorkers)
{
  for (const Fault& fault : aPlan) {
    Span span;
    span.mFrom = aStart + fault.mAt;
    span.mTo = span.mFrom + fault.mFor + kRestartTime;
    span.mAffectsWorker = AffectsWorker(fault.mKind);
    span.mRestartsAgent = RestartsAgent(fault.mKind);
    span.mStoreAway = TakesStoreAway(fault.mKind);
    if (span.mAffectsWorker && fault.mKind != FaultKind::KillAll) {
      span.mWorker = fault.mTarget % static_cast<unsigned>(aWorkers);
    }
    mSpans.push_back(span);
  }
}

bool FaultTimeline::CordonBinds(std::string_view aIncarnation,
                                Instant aCordonedAt,
                                Instant aAt) const
{
  if (IsAffected(WorkerOf(aIncarnation), aAt - kReconnectTime, aAt)) {
    return false;
  }
  Instant since = aCordonedAt;
  for (const Span& span : mSpans) {
    if (span.mStoreAway && span.mFrom <= aAt) {
      since = std::max(since, std::min(span.mTo, aAt));
    }
  }
  return aAt - since > kCordonTime;
}

bool FaultTimeline::IsAffected(unsigned aWorker,
                               Instant aFrom,
                               Instant aTo) const
{
  return std::ranges::any_of(mSpans, [&](const Span& aSpan) {
    return aSpan.mAffectsWorker &&
           (!aSpan.mWorker || *aSpan.mWorker == aWorker) &&
           aSpan.mFrom <= aTo && aSpan.mTo >= aFrom;
  });
}

Instant FaultTimeline::LastRestart(unsigned aWorker, Instant aBefore) const
{
  Instant last{};
  for (const Span& span : mSpans) {
    if (span.mRestartsAgent && (!span.mWorker || *span.mWorker == aWorker) &&
        span.mFrom <= aBefore) {
      last = std::max(last, span.mTo);
    }
  }
  return last;
}

/// True if the interval has kResyncTime without a fault.
bool FaultTimeline::HasFaultFreePeriod(Instant aFrom, Instant aTo) const
{
  Instant faultFreeSince = aFrom;
  for (const Span& span : mSpans) {
    if (span.mTo <= faultFreeSince) {
      continue;
    }
    if (span.mFrom - faultFreeSince >= kResyncTime || faultFreeSince >= aTo) {
      break;
    }
    faultFreeSince = span.mTo;
  }
  return aTo - faultFreeSince >= kResyncTime;
}

bool FaultTimeline::IsProtected(std::string_view aIncarnation,
                                Instant aSince) const
{
  const unsigned worker = WorkerOf(aIncarnation);
  if (IsAffected(worker,
                 aSince - kReconnectTime,
                 aSince + standin::kMaxTimeOverTarget)) {
    return false;
  }
  const Instant restarted = LastRestart(worker, aSince);
  return restarted == Instant() || HasFaultFreePeriod(restarted, aSince);
}

} // namespace foxtailbarrow::soak
