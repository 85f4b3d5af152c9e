#pragma once

#include <cstddef>

#include <sys/types.h>

#include "foxtailbarrow/Endpoint.h"

namespace foxtailbarrow::clients {

/// Largest resident memory since the start of the process, in bytes; 0 once it
/// has ended. Source: /proc.
std::size_t PeakMemory(pid_t aProcess);

/// Open sockets and pipes of the process. Source: /proc.
std::size_t OpenSockets(pid_t aProcess);

/// Bytes that the kernel has received for the connections of a listening
/// endpoint and its process has not read. Source: /proc.
std::size_t UnreadBytes(const Endpoint& aListening);

} // namespace foxtailbarrow::clients
