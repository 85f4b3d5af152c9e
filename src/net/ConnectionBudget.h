#pragma once

#include <cstddef>

#include "src/net/HttpServer.h"

namespace foxtailbarrow::net {

/// What a process may use for the connections of all its servers together.
struct ConnectionBudget
{
  std::size_t mProcessMemory = 0; ///< In bytes.

  static constexpr ConnectionBudget ForMemory(int aMegabytes)
  {
    constexpr unsigned kMegabyteBits = 20;
    return { static_cast<std::size_t>(aMegabytes) << kMegabyteBits };
  }

  /// The part of the process's memory that messages may take.
  std::size_t MessageBytes() const { return mProcessMemory / 8; }
};

/// The part of the budget that one server may use, so that a crowd on one port
/// leaves the others alone. The shares of a process's servers add up to 100.
struct ServerShare
{
  unsigned mMemoryPercent = 0;
};

/// Limits of a server with this share of the budget.
HttpServerLimits LimitsFor(const ConnectionBudget& aBudget,
                           const ServerShare& aShare);

} // namespace foxtailbarrow::net
