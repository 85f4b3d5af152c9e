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

/// Ejects agents that fail or are slow, as observed by this entry alone.
/// Inputs: the outcomes of requests, and periodic calls of Evaluate(). Output:
/// the state in AgentHealth, which the routing policy reads.
///
/// Guarantees:
/// - An ejection never raises the ejected share of a service's agents above the
///   setting (rounded down), so that a common fault ejects only a few.
/// - An ejected agent is probed by single requests after a time that doubles
///   with each consecutive ejection, and readmitted, with slow start, after
///   enough probes succeeded.
///
/// Tolerates a failed rack, a slow or failing backend server, agents that leave
/// while ejected, and probes whose outcome is never reported (Neutral).
class OutlierDetector
{
public:
  explicit OutlierDetector(OutlierSettings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Records the outcome of one request. Thread-safe; locks briefly, and only
  /// to change an ejection.
  void OnFinished(const RoutableAgent& aAgent,
                  Outcome aOutcome,
                  Duration aLatency,
                  bool aWasProbe,
                  Instant aNow) const;

  /// Evaluates the agents whose window has enough requests and starts a new
  /// window. Call from one thread about once a second with the newest table.
  /// Returns all changes since the last call, also those by OnFinished().
  std::vector<EjectionEvent> Evaluate(const RoutingTable& aTable,
                                      Instant aNow) const;

private:
  /// Counts of an agent's completed window.
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
