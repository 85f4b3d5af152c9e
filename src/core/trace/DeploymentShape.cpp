#include "src/core/trace/DeploymentShape.h"

#include <utility>

namespace foxtailbarrow {

std::optional<DeploymentShape> FindDeploymentShape(std::string_view aName)
{
  if (aName == "trasowka") {
    return TrasowkaShape();
  }
  if (aName == "qoima") {
    return QoimaShape();
  }
  return std::nullopt;
}

TraceContract WithDoubledLimits(Contract aContract, std::int64_t aAtMs)
{
  aContract.mMaxConcurrency *= 2;
  aContract.mRequestsPerSecond *= 2;
  aContract.mBurst *= 2;
  return { aAtMs, std::move(aContract) };
}

} // namespace foxtailbarrow
