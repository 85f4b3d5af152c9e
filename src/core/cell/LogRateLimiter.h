#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailbarrow::cell {

/// Limits repeated log lines: for each sender and reason the first event is
/// logged, then the tenth, the hundredth and so on. Does no I/O.
class LogRateLimiter
{
public:
  /// Counts the event. Returns the count if it is to be logged now.
  std::optional<std::int64_t> OnEvent(std::string_view aSender,
                                      std::string_view aReason);

private:
  struct Count
  {
    std::int64_t mEvents = 0;
    std::int64_t mNextLogged = 1;
  };

  std::map<std::pair<std::string, std::string>, Count, std::less<>> mCounts;
};

} // namespace foxtailbarrow::cell
