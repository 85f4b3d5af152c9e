#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "tests/clients/OneRequest.h"

namespace foxtailbarrow::clients {

enum class Process : std::uint8_t
{
  Scheduler,
  TaskAgent,
  Entry,
  Agent,
};

/// A port on which a process of the system serves others.
struct TestedPort
{
  const char* mName;
  Process mProcess;
  std::uint16_t mNumber;
  OneRequest mOrdinary;
  unsigned mStatus; ///< Of the answer to it.
};

/// Memory of the machine of each process, in bytes. That of the scheduler is
/// lowered by its settings, the others have no setting for it.
constexpr std::size_t MemoryBound(Process aProcess)
{
  constexpr std::size_t kSchedulerMb = 64;
  constexpr std::size_t kBesideWorkerMb = 128;
  return (aProcess == Process::Scheduler ? kSchedulerMb : kBesideWorkerMb)
         << 20U;
}

/// Connections of a crowd that sends. With a MiB each, they exceed the bound.
constexpr std::size_t CrowdOf(Process aProcess)
{
  constexpr std::size_t kSmall = 64;
  constexpr std::size_t kLarge = 160;
  return aProcess == Process::Scheduler ? kSmall : kLarge;
}

} // namespace foxtailbarrow::clients
