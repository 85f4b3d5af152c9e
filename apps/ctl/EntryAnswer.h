#pragma once

#include <functional>
#include <string_view>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "apps/ctl/CommandResult.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::ctl {

/// Converts an entry's answer to a result. `aOnSuccess` receives the JSON body
/// of a 2xx answer; any other answer is a refusal (4xx) or an unreachable
/// service (5xx), with the entry's error message.
CommandResult ToCommandResult(
  std::string_view aWhat,
  const absl::StatusOr<net::HttpResponse>& aAnswer,
  const std::function<CommandResult(const Json::Value&)>& aOnSuccess);

} // namespace foxtailbarrow::ctl
