#pragma once

#include <cstddef>

#include "src/net/HttpServer.h"

namespace foxtailbarrow::net {

/// What a process may use for the connections of all its servers together.
struct ConnectionBudget
{
  std::size_t mProcessMemory = 0; ///< In bytes.
  std::size_t mDescriptors = 0;   ///< That the process may open.

  /// The budget of this process. `aMaxDescriptors` lowers the limit of the
  /// system, RLIMIT_NOFILE; 0 = it does not.
  static ConnectionBudget OfProcess(int aMemoryMb, int aMaxDescriptors);

  /// Descriptors that are not kept for files. The sockets of servers and of
  /// calls to others share them.
  std::size_t Sockets() const;

  /// The part of the process's memory that messages may take.
  std::size_t MessageBytes() const { return mProcessMemory / 8; }
};

/// The part of the budget that one server may use, so that a crowd on one port
/// leaves the others alone. The memory of a process's servers adds up to 100;
/// their sockets to less, as calls to others need sockets, too.
struct ServerShare
{
  unsigned mMemoryPercent = 0;
  unsigned mSocketPercent = 0;
};

/// Limits of a server with this share of the budget.
HttpServerLimits LimitsFor(const ConnectionBudget& aBudget,
                           const ServerShare& aShare);

} // namespace foxtailbarrow::net
