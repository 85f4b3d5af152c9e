#include "src/net/ConnectionBudget.h"

namespace foxtailbarrow::net {

namespace {

constexpr std::size_t kPercent = 100;

} // namespace

HttpServerLimits LimitsFor(const ConnectionBudget& aBudget,
                           const ServerShare& aShare)
{
  HttpServerLimits limits;
  limits.mMaxMessageBytes =
    aBudget.MessageBytes() / kPercent * aShare.mMemoryPercent;
  return limits;
}

} // namespace foxtailbarrow::net
