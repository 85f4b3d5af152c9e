#pragma once

#include <string>

#include <json/value.h>

namespace foxtailbarrow::ctl {

/// A value as a cell of a table: "-" for null or an empty text, compact JSON
/// for lists and objects.
std::string CellText(const Json::Value& aValue);

} // namespace foxtailbarrow::ctl
