#include "src/core/cell/LogRateLimiter.h"

namespace foxtailbarrow::cell {

namespace {

/// Senders and reasons that are told apart; the rest count as one.
constexpr std::size_t kMostKept = 100;
/// Longest name of a sender that is kept.
constexpr std::size_t kMostBytes = 128;
constexpr std::int64_t kNextFactor = 10;

} // namespace

std::optional<std::int64_t> LogRateLimiter::Note(std::string_view aSender,
                                                 std::string_view aReason)
{
  std::pair<std::string, std::string> key(aSender.substr(0, kMostBytes),
                                          aReason);
  if (mCounts.size() >= kMostKept && !mCounts.contains(key)) {
    key = {};
  }
  Count& count = mCounts[key];
  if (++count.mFound < count.mNextTold) {
    return std::nullopt;
  }
  count.mNextTold *= kNextFactor;
  return count.mFound;
}

} // namespace foxtailbarrow::cell
