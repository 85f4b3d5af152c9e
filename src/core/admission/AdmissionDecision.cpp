#include "src/core/admission/AdmissionDecision.h"

namespace foxtailbarrow {

namespace {

constexpr double kMaxJitterRatio = 0.5;

} // namespace

Duration WithJitter(Duration aWait, double aJitter)
{
  const auto wait = static_cast<double>(aWait.count());
  return Duration(
    static_cast<Duration::rep>(wait * (1 + kMaxJitterRatio * aJitter)));
}

} // namespace foxtailbarrow
