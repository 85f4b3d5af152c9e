#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace foxtailbarrow::bench {

/// Results of one run, without its warm-up.
struct RunResult
{
  std::vector<double> mLatencies; ///< Of successful requests, in milliseconds.
  std::size_t mRequests = 0;
  std::size_t mRefused = 0; ///< Responses with verdict not-run and Retry-After.
  std::size_t mFailed = 0;  ///< Errors and responses with verdict may-have-run.
  std::size_t mRetried = 0; ///< Attempts beyond the first.
  std::size_t mRemote = 0;  ///< Attempts in another failure domain.
  std::size_t mAttempts = 0;

  double Percentile(double aShare)
  {
    if (mLatencies.empty()) {
      return 0.0;
    }
    const auto index = static_cast<std::size_t>(
      aShare * static_cast<double>(mLatencies.size() - 1));
    const auto middle = mLatencies.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(mLatencies.begin(), middle, mLatencies.end());
    return *middle;
  }
};

} // namespace foxtailbarrow::bench
