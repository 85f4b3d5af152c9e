#pragma once

#include <string>

#include <json/value.h>

namespace foxtailbarrow::ctl {

/// Formats a value as a table cell: "-" for null and empty strings, compact
/// JSON for arrays and objects.
std::string CellText(const Json::Value& aValue);

} // namespace foxtailbarrow::ctl
