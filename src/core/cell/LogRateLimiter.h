#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailbarrow::cell {

/// Bounds the log lines about findings that repeat: the first of a sender and
/// reason is told, and then each tenth, hundredth and so on. Pure.
class LogRateLimiter
{
public:
  /// How often it was found, when that is to be told now.
  std::optional<std::int64_t> Note(std::string_view aSender,
                                   std::string_view aReason);

private:
  struct Count
  {
    std::int64_t mFound = 0;
    std::int64_t mNextTold = 1;
  };

  std::map<std::pair<std::string, std::string>, Count, std::less<>> mCounts;
};

} // namespace foxtailbarrow::cell
