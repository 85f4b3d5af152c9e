#pragma once

#include <functional>
#include <string_view>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "apps/ctl/CommandResult.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::ctl {

/// Turns an entry's answer into a result: `aOnSuccess` sees the JSON body of a
/// 2xx answer; any other answer is a refusal (4xx) or an unreachable service
/// (5xx) that repeats the entry's own words.
CommandResult ToCommandResult(
  std::string_view aWhat,
  const absl::StatusOr<net::HttpResponse>& aAnswer,
  const std::function<CommandResult(const Json::Value&)>& aOnSuccess);

} // namespace foxtailbarrow::ctl
