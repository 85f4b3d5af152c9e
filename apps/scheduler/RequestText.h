#pragma once

#include <string>
#include <string_view>

#include "src/core/cell/JobRequest.h"

/// Texts for callers' requests and their answers in log lines.
namespace foxtailbarrow::scheduler {

std::string_view KindOf(const cell::JobRequest& aRequest);
std::string OutcomeOf(const cell::JobAnswer& aAnswer);

} // namespace foxtailbarrow::scheduler
