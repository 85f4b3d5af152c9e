#include "src/core/trace/DeploymentShape.h"

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

} // namespace foxtailbarrow
