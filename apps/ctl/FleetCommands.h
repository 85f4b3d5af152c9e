#pragma once

#include <string>

#include "apps/ctl/CommandResult.h"
#include "apps/ctl/JobCommands.h"

/// What an entry knows of the fleet, from its state dump.
namespace foxtailbarrow::ctl {

/// Backend servers: slots, load, state.
CommandResult ListServers(const CallEntry& aCall);

/// Workers: size and what is reserved of it.
CommandResult ListWorkers(const CallEntry& aCall);

/// The whole state dump of the process that `aCall` reaches.
CommandResult DumpState(const CallEntry& aCall);

} // namespace foxtailbarrow::ctl
