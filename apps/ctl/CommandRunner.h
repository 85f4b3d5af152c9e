#pragma once

#include "apps/ctl/CommandResult.h"
#include "apps/ctl/CtlSettings.h"
#include "src/net/FiberRuntime.h"

namespace foxtailbarrow::ctl {

/// Carries the command out. Call it from a fiber of `aRuntime`.
CommandResult RunCommand(net::FiberRuntime& aRuntime,
                         const CtlSettings& aSettings);

} // namespace foxtailbarrow::ctl
