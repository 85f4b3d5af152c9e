#pragma once

#include "apps/ctl/CommandResult.h"
#include "apps/ctl/CtlSettings.h"
#include "src/net/FiberRuntime.h"

namespace foxtailbarrow::ctl {

/// Executes the command. Must be called on a fiber of `aRuntime`.
CommandResult RunCommand(net::FiberRuntime& aRuntime,
                         const CtlSettings& aSettings);

} // namespace foxtailbarrow::ctl
