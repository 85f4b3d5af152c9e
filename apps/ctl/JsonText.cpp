#include "apps/ctl/JsonText.h"

#include "src/core/message/Json.h"

namespace foxtailbarrow::ctl {

std::string CellText(const Json::Value& aValue)
{
  if (aValue.isNull()) {
    return "-";
  }
  if (aValue.isString()) {
    return aValue.asString().empty() ? "-" : aValue.asString();
  }
  return FormatJson(aValue);
}

} // namespace foxtailbarrow::ctl
