#include "src/core/routing/OutlierDetector.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace foxtailbarrow {

namespace {

constexpr auto kRelaxed = std::memory_order_relaxed;

/// A median over fewer agents is not meaningful.
constexpr std::size_t kMinAgentsForMedian = 3;

bool IsEjected(const AgentHealth& aHealth)
{
  return aHealth.mState.load(kRelaxed) == HealthState::Ejected;
}

Duration MedianLatency(const ServiceTable& aService)
{
  std::vector<Duration> means;
  for (const RoutableAgentPointer& agent : aService.Routable()) {
    const AgentHealth& health = agent->mRoutingState->mHealth;
    if (health.mMeanLatency > Duration::zero() && !IsEjected(health)) {
      means.push_back(health.mMeanLatency);
    }
  }
  if (means.size() < kMinAgentsForMedian) {
    return Duration::max();
  }
  const auto middle =
    means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

} // namespace

void OutlierDetector::OnFinished(const RoutableAgent& aAgent,
                                 Outcome aOutcome,
                                 Duration aLatency,
                                 bool aWasProbe,
                                 Instant aNow) const
{
  AgentHealth& health = aAgent.mRoutingState->mHealth;
  if (aWasProbe) {
    OnProbeFinished(aAgent, aOutcome, aNow);
    return;
  }
  if (aOutcome == Outcome::Success) {
    health.mSuccesses.fetch_add(1, kRelaxed);
    health.mLatencyMicros.fetch_add(
      static_cast<std::uint64_t>(aLatency.count()), kRelaxed);
    if (health.mConsecutiveFailures.load(kRelaxed) != 0) {
      health.mConsecutiveFailures.store(0, kRelaxed);
    }
  }
  if (aOutcome == Outcome::Failure) {
    health.mFailures.fetch_add(1, kRelaxed);
    const auto failures = health.mConsecutiveFailures.fetch_add(1, kRelaxed);
    if (failures + 1 >= mSettings.mConsecutiveFailures) {
      Eject(aAgent, Reason::EjectedForErrors, aNow);
    }
  }
}

void OutlierDetector::OnProbeFinished(const RoutableAgent& aAgent,
                                      Outcome aOutcome,
                                      Instant aNow) const
{
  AgentHealth& health = aAgent.mRoutingState->mHealth;
  if (aOutcome == Outcome::Failure) {
    ExtendEjection(aAgent, aNow);
  }
  if (aOutcome == Outcome::Success &&
      health.mProbeSuccesses.fetch_add(1, kRelaxed) + 1 >=
        mSettings.mProbesToReadmit) {
    Readmit(aAgent, aNow);
  }
  health.mProbeUntil.store(Instant::min(), std::memory_order_release);
}

void OutlierDetector::Eject(const RoutableAgent& aAgent,
                            Reason aReason,
                            Instant aNow) const
{
  ServiceHealth& service = *aAgent.mServiceHealth;
  AgentHealth& health = aAgent.mRoutingState->mHealth;
  const std::lock_guard lock(service.mMutex);
  if (IsEjected(health) || service.mEjected >= MaxEjected(service)) {
    return;
  }
  const Instant readmitted = health.mReadmittedAt.load(kRelaxed);
  const bool isRepeat = readmitted != Instant::min() &&
                        aNow - readmitted < mSettings.mLongestEjection;
  const Duration time = isRepeat
                          ? std::min(health.mEjectionTime.load(kRelaxed) * 2,
                                     mSettings.mLongestEjection)
                          : mSettings.mFirstEjection;
  health.mEjectionTime.store(time, kRelaxed);
  health.mEjectedUntil.store(aNow + time, kRelaxed);
  health.mReason.store(aReason, kRelaxed);
  health.mProbeSuccesses.store(0, kRelaxed);
  health.mState.store(HealthState::Ejected, std::memory_order_release);
  ++service.mEjected;
  service.mEvents.push_back({ aAgent.mAgent, aReason, time });
}

void OutlierDetector::ExtendEjection(const RoutableAgent& aAgent,
                                     Instant aNow) const
{
  ServiceHealth& service = *aAgent.mServiceHealth;
  AgentHealth& health = aAgent.mRoutingState->mHealth;
  const std::lock_guard lock(service.mMutex);
  const Duration time = std::min(health.mEjectionTime.load(kRelaxed) * 2,
                                 mSettings.mLongestEjection);
  health.mEjectionTime.store(time, kRelaxed);
  health.mEjectedUntil.store(aNow + time, kRelaxed);
  health.mProbeSuccesses.store(0, kRelaxed);
}

void OutlierDetector::Readmit(const RoutableAgent& aAgent, Instant aNow) const
{
  ServiceHealth& service = *aAgent.mServiceHealth;
  AgentHealth& health = aAgent.mRoutingState->mHealth;
  const std::lock_guard lock(service.mMutex);
  if (!IsEjected(health)) {
    return;
  }
  health.mReadmittedAt.store(aNow, kRelaxed);
  health.mConsecutiveFailures.store(0, kRelaxed);
  health.mSuccesses.store(0, kRelaxed);
  health.mFailures.store(0, kRelaxed);
  health.mLatencyMicros.store(0, kRelaxed);
  health.mState.store(HealthState::Admitted, std::memory_order_release);
  service.mEjected -= service.mEjected > 0 ? 1 : 0;
  service.mEvents.push_back({ aAgent.mAgent, Reason::None, {} });
}

std::vector<EjectionEvent> OutlierDetector::Evaluate(const RoutingTable& aTable,
                                                     Instant aNow) const
{
  std::vector<EjectionEvent> events;
  for (const auto& [id, service] : aTable.All()) {
    EvaluateService(*service, aNow);
    const std::lock_guard lock(service->mHealth->mMutex);
    auto& newEvents = service->mHealth->mEvents;
    events.insert(events.end(), newEvents.begin(), newEvents.end());
    newEvents.clear();
  }
  return events;
}

void OutlierDetector::EvaluateService(const ServiceTable& aService,
                                      Instant aNow) const
{
  RecountEjected(aService, aNow);
  const std::vector<ClosedWindow> windows = CloseWindows(aService);
  const Duration median = MedianLatency(aService);
  for (const ClosedWindow& window : windows) {
    if (const Reason reason = Classify(window, median);
        reason != Reason::None) {
      Eject(*window.mAgent, reason, aNow);
    }
  }
}

void OutlierDetector::RecountEjected(const ServiceTable& aService,
                                     Instant aNow) const
{
  std::vector<const RoutableAgent*> ejected;
  for (const RoutableAgentPointer& agent : aService.Routable()) {
    if (IsEjected(agent->mRoutingState->mHealth)) {
      ejected.push_back(agent.get());
    }
  }
  const std::size_t limit = MaxEjected(*aService.mHealth);
  {
    const std::lock_guard lock(aService.mHealth->mMutex);
    aService.mHealth->mEjected = ejected.size();
  }
  // Agents may have left since: the remaining ejected share must not exceed
  // the limit.
  for (std::size_t i = limit; i < ejected.size(); ++i) {
    Readmit(*ejected[i], aNow);
  }
}

std::vector<OutlierDetector::ClosedWindow> OutlierDetector::CloseWindows(
  const ServiceTable& aService) const
{
  std::vector<ClosedWindow> windows;
  for (const RoutableAgentPointer& agent : aService.Routable()) {
    AgentHealth& health = agent->mRoutingState->mHealth;
    const auto requests =
      health.mSuccesses.load(kRelaxed) + health.mFailures.load(kRelaxed);
    if (requests < mSettings.mMinRequests || IsEjected(health)) {
      continue;
    }
    const auto successes = health.mSuccesses.exchange(0, kRelaxed);
    const auto failures = health.mFailures.exchange(0, kRelaxed);
    const auto latency = health.mLatencyMicros.exchange(0, kRelaxed);
    if (successes > 0) {
      health.mMeanLatency = Duration(latency / successes);
    }
    windows.push_back({ agent.get(), successes + failures, failures });
  }
  return windows;
}

Reason OutlierDetector::Classify(const ClosedWindow& aWindow,
                                 Duration aMedian) const
{
  if (aWindow.mFailures >= mSettings.mFailureRate * aWindow.mRequests) {
    return Reason::EjectedForErrors;
  }
  AgentHealth& health = aWindow.mAgent->mRoutingState->mHealth;
  const Duration latency = health.mMeanLatency;
  const bool isSlow =
    aMedian != Duration::max() && latency > aMedian + mSettings.mSlowMargin &&
    static_cast<double>(latency.count()) >
      static_cast<double>(aMedian.count()) * mSettings.mSlowFactor;
  health.mSlowWindows = isSlow ? health.mSlowWindows + 1 : 0;
  if (health.mSlowWindows < mSettings.mSlowWindows) {
    return Reason::None;
  }
  health.mSlowWindows = 0;
  return Reason::EjectedForLatency;
}

std::size_t OutlierDetector::MaxEjected(const ServiceHealth& aService) const
{
  const auto agents = aService.mAgents.load(kRelaxed);
  return static_cast<std::size_t>(agents * mSettings.mMaxEjectedShare);
}

} // namespace foxtailbarrow
