#include "src/net/ConnectionBudget.h"

#include <algorithm>

#include <sys/resource.h>

namespace foxtailbarrow::net {

namespace {

constexpr std::size_t kPercent = 100;
constexpr unsigned kMegabyteBits = 20;
constexpr std::size_t kKeptForFiles = 200;
/// Part of few descriptors that are for sockets.
constexpr std::size_t kSocketFraction = 5;
constexpr std::size_t kMinConnections = 4;

/// Where the system does not tell its limit.
constexpr std::size_t kUnknownDescriptors = 1024;

std::size_t DescriptorLimit()
{
  rlimit limit{};
  const bool known =
    ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur > 0;
  return known ? limit.rlim_cur : kUnknownDescriptors;
}

} // namespace

ConnectionBudget ConnectionBudget::OfProcess(int aMemoryMb, int aMaxDescriptors)
{
  ConnectionBudget budget;
  budget.mProcessMemory = static_cast<std::size_t>(aMemoryMb) << kMegabyteBits;
  budget.mDescriptors = DescriptorLimit();
  if (aMaxDescriptors > 0) {
    budget.mDescriptors =
      std::min(budget.mDescriptors, static_cast<std::size_t>(aMaxDescriptors));
  }
  return budget;
}

std::size_t ConnectionBudget::Sockets() const
{
  const std::size_t fewest = mDescriptors / kSocketFraction;
  return std::max(mDescriptors, fewest + kKeptForFiles) - kKeptForFiles;
}

HttpServerLimits LimitsFor(const ConnectionBudget& aBudget,
                           const ServerShare& aShare)
{
  HttpServerLimits limits;
  limits.mMaxMessageBytes =
    aBudget.MessageBytes() / kPercent * aShare.mMemoryPercent;
  const std::size_t connections =
    aBudget.Sockets() * aShare.mSocketPercent / kPercent;
  limits.mMaxConnections =
    std::clamp(connections, kMinConnections, limits.mMaxConnections);
  return limits;
}

} // namespace foxtailbarrow::net
