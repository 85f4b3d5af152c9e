#include "soak/FaultTimes.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include "standins/taskworker/TaskWorkerModel.h"

namespace foxtailbarrow::soak {

namespace {

/// After a fault, until what it touched is in touch again.
constexpr Duration kInTouchAfter = std::chrono::seconds(3);
/// A calm so long lets an agent find the owner and be told what runs.
constexpr Duration kTold = std::chrono::seconds(6);
/// A process is back so long after its fault has ended.
constexpr Duration kRestart = std::chrono::seconds(1);

bool RestartsAgent(FaultKind aKind)
{
  return aKind == FaultKind::KillAgent || aKind == FaultKind::TermAgent ||
         aKind == FaultKind::KillAll;
}

bool TouchesWorker(FaultKind aKind)
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

/// "worker3-2" is the second life of worker 3.
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

FaultTimes::FaultTimes(const std::vector<Fault>& aPlan,
                       Instant aStart,
                       std::int64_t aWorkers)
{
  for (const Fault& fault : aPlan) {
    Span span;
    span.mFrom = aStart + fault.mAt;
    span.mTo = span.mFrom + fault.mFor + kRestart;
    span.mTouches = TouchesWorker(fault.mKind);
    span.mRestarts = RestartsAgent(fault.mKind);
    if (span.mTouches && fault.mKind != FaultKind::KillAll) {
      span.mWorker = fault.mTarget % static_cast<unsigned>(aWorkers);
    }
    mSpans.push_back(span);
  }
}

bool FaultTimes::Touched(unsigned aWorker, Instant aFrom, Instant aTo) const
{
  return std::ranges::any_of(mSpans, [&](const Span& aSpan) {
    return aSpan.mTouches && (!aSpan.mWorker || *aSpan.mWorker == aWorker) &&
           aSpan.mFrom <= aTo && aSpan.mTo >= aFrom;
  });
}

Instant FaultTimes::LastRestart(unsigned aWorker, Instant aBefore) const
{
  Instant last{};
  for (const Span& span : mSpans) {
    if (span.mRestarts && (!span.mWorker || *span.mWorker == aWorker) &&
        span.mFrom <= aBefore) {
      last = std::max(last, span.mTo);
    }
  }
  return last;
}

/// No fault for kTold on end between the two.
bool FaultTimes::Calm(Instant aFrom, Instant aTo) const
{
  Instant calmSince = aFrom;
  for (const Span& span : mSpans) {
    if (span.mTo <= calmSince) {
      continue;
    }
    if (span.mFrom - calmSince >= kTold || calmSince >= aTo) {
      break;
    }
    calmSince = span.mTo;
  }
  return aTo - calmSince >= kTold;
}

bool FaultTimes::Protected(std::string_view aIncarnation, Instant aSince) const
{
  const unsigned worker = WorkerOf(aIncarnation);
  if (Touched(worker, aSince - kInTouchAfter, aSince + standin::kLongestOver)) {
    return false;
  }
  const Instant restarted = LastRestart(worker, aSince);
  return restarted == Instant() || Calm(restarted, aSince);
}

} // namespace foxtailbarrow::soak
