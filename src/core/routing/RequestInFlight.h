#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"
#include "src/core/routing/Choice.h"
#include "src/core/routing/LoadSnapshot.h"
#include "src/core/routing/Outcome.h"
#include "src/core/routing/OutlierDetector.h"

namespace foxtailbarrow {

/// One request sent to a picked agent. Counts towards the agent's load until
/// Finish(); if destroyed before that, it ends as Neutral, so that an abandoned
/// request does not stay counted. Not thread-safe.
class RequestInFlight
{
public:
  /// `aDetector` must outlive this.
  RequestInFlight(Picked aPicked,
                  const OutlierDetector& aDetector,
                  Instant aNow);
  ~RequestInFlight();

  RequestInFlight(const RequestInFlight&) = delete;
  RequestInFlight& operator=(const RequestInFlight&) = delete;

  /// Call once, with the load reported in the response, if any.
  void Finish(Outcome aOutcome,
              Instant aNow,
              std::optional<LoadSnapshot> aLoad = std::nullopt);

  const RoutableAgent& Agent() const { return *mPicked.mAgent; }

private:
  Picked mPicked;
  const OutlierDetector& mDetector;
  Instant mStart;
  bool mIsFinished = false;
};

} // namespace foxtailbarrow
