#include "src/core/routing/RequestInFlight.h"

#include <utility>

namespace foxtailbarrow {

RequestInFlight::RequestInFlight(Picked aPicked,
                                 const OutlierDetector& aDetector,
                                 Instant aNow)
  : mPicked(std::move(aPicked))
  , mDetector(aDetector)
  , mStart(aNow)
{
  Agent().mRoutingState->mLoad.Start();
}

RequestInFlight::~RequestInFlight()
{
  if (!mIsFinished) {
    Finish(Outcome::Neutral, mStart);
  }
}

void RequestInFlight::Finish(Outcome aOutcome,
                             Instant aNow,
                             std::optional<LoadSnapshot> aLoad)
{
  mIsFinished = true;
  LoadEstimator& load = Agent().mRoutingState->mLoad;
  load.End();
  if (aLoad.has_value()) {
    load.Report(*aLoad, aNow);
  }
  mDetector.OnFinished(
    Agent(), aOutcome, aNow - mStart, mPicked.mIsProbe, aNow);
}

} // namespace foxtailbarrow
