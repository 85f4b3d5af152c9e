#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "src/core/routing/EjectionEvent.h"
#include "src/core/routing/Outcome.h"
#include "src/core/routing/OutlierSettings.h"
#include "src/core/routing/RoutingTable.h"

namespace foxtailbarrow {

/// Decides which agents get no requests because they fail or are slow, as seen
/// by this entry alone. Inputs: the outcomes of requests, and a tick. Output:
/// the state in AgentHealth, which the routing policy reads.
///
/// Promises:
/// - An ejection never brings the ejected agents of a service above the share
///   in the settings (rounded down), so a fault that all share ejects few.
/// - An ejected agent is tried again by single probes after a time that doubles
///   with each ejection in a row, and readmitted, at slow start, after enough
///   probes succeeded.
///
/// Survives: a failed rack, one slow or failing backend server, agents that
/// leave while ejected, probes whose outcome never comes (Neutral).
class OutlierDetector
{
public:
  explicit OutlierDetector(OutlierSettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Takes in the outcome of one request. Callable from any thread; takes a
  /// short lock only when it ejects or readmits.
  void OnFinished(const RoutableAgent& aAgent,
                  Outcome aOutcome,
                  Duration aLatency,
                  bool aWasProbe,
                  Instant aNow) const;

  /// Judges the agents whose window has enough requests and starts a new one.
  /// One thread, about once a second, with the newest table. Returns what
  /// changed since the last call, by OnFinished() too.
  std::vector<EjectionEvent> Evaluate(const RoutingTable& aTable,
                                      Instant aNow) const;

private:
  /// What was counted of an agent up to now.
  struct ClosedWindow
  {
    const RoutableAgent* mAgent = nullptr;
    std::uint32_t mRequests = 0;
    std::uint32_t mFailures = 0;
  };

  void OnProbeFinished(const RoutableAgent& aAgent,
                       Outcome aOutcome,
                       Instant aNow) const;
  void Eject(const RoutableAgent& aAgent, Reason aReason, Instant aNow) const;
  void ExtendEjection(const RoutableAgent& aAgent, Instant aNow) const;
  void Readmit(const RoutableAgent& aAgent, Instant aNow) const;
  void EvaluateService(const ServiceTable& aService, Instant aNow) const;
  void RecountEjected(const ServiceTable& aService, Instant aNow) const;
  std::vector<ClosedWindow> CloseWindows(const ServiceTable& aService) const;
  Reason Classify(const ClosedWindow& aWindow, Duration aMedian) const;
  std::size_t MaxEjected(const ServiceHealth& aService) const;

  OutlierSettings mSettings;
};

} // namespace foxtailbarrow
