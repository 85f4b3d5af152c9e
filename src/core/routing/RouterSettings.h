#pragma once

#include <cstddef>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Settings of the least-loaded policy. Loads are requests per slot.
struct RouterSettings
{
  /// Requests waiting per slot beyond which a backend server is full: what an
  /// agent admits by default (SlotGateLimits).
  double mMaxWaitingPerSlot = 2.0;

  /// A backend server of another failure domain is taken when its load is
  /// lower by at least this.
  double mDomainMargin = 0.25;

  /// Reports of other entries' load count less with age and nothing beyond.
  Duration mReportDecay = std::chrono::seconds(2);

  /// A new or readmitted backend server counts as more loaded for this long.
  Duration mSlowStart = std::chrono::seconds(10);
  double mSlowStartShare = 0.1; ///< Share of its full weight at the start.

  /// A probe whose outcome is not reported by then counts as ended.
  Duration mProbeTimeout = std::chrono::seconds(30);

  /// Random draws for one request before it scans.
  std::size_t mMaxDraws = 6;

  /// Backend servers looked at by a scan, which bounds the cost of a choice
  /// when nearly all are full.
  std::size_t mMaxScan = 64;
};

} // namespace foxtailbarrow
