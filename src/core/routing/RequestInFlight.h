#pragma once

#include <optional>

#include "foxtailbarrow/Time.h"
#include "src/core/routing/Choice.h"
#include "src/core/routing/LoadSnapshot.h"
#include "src/core/routing/Outcome.h"
#include "src/core/routing/OutlierDetector.h"

namespace foxtailbarrow {

/// One request sent to a picked agent. Counts in its load from construction to
/// destruction; without Finish() it ends as Neutral, so an abandoned request
/// leaves nothing behind. Use on one thread.
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

  /// To be called once, with the load that came with the answer, if any.
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
