#pragma once

#include <string>

#include "apps/ctl/CommandResult.h"
#include "apps/ctl/JobCommands.h"

/// Commands that show the fleet from an entry's state dump.
namespace foxtailbarrow::ctl {

/// Lists the backend servers with their slots, load and state.
CommandResult ListServers(const CallEntry& aCall);

/// Lists the workers with their size and reserved resources.
CommandResult ListWorkers(const CallEntry& aCall);

/// Shows the state dump of the process that `aCall` reaches.
CommandResult DumpState(const CallEntry& aCall);

} // namespace foxtailbarrow::ctl
