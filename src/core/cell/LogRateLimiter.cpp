#include "src/core/cell/LogRateLimiter.h"

namespace foxtailbarrow::cell {

namespace {

/// Pairs of sender and reason that are counted separately; the rest share one
/// count.
constexpr std::size_t kMaxPairs = 100;
/// Bytes of a sender's name that are kept.
constexpr std::size_t kMaxBytes = 128;
constexpr std::int64_t kNextFactor = 10;

} // namespace

std::optional<std::int64_t> LogRateLimiter::OnEvent(std::string_view aSender,
                                                    std::string_view aReason)
{
  std::pair<std::string, std::string> key(aSender.substr(0, kMaxBytes),
                                          aReason);
  if (mCounts.size() >= kMaxPairs && !mCounts.contains(key)) {
    key = {};
  }
  Count& count = mCounts[key];
  if (++count.mEvents < count.mNextLogged) {
    return std::nullopt;
  }
  count.mNextLogged *= kNextFactor;
  return count.mEvents;
}

} // namespace foxtailbarrow::cell
