#pragma once

#include <cstddef>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// Settings of the least-loaded policy. Loads are requests per slot.
struct RouterSettings
{
  /// Waiting requests per slot beyond which a backend server is full: what an
  /// agent admits by default (SlotGateLimits).
  double mMaxWaitingPerSlot = 2.0;

  /// A backend server of another failure domain is picked only if its load is
  /// lower by more than this.
  double mDomainMargin = 0.25;

  /// Age at which the reported load of other entries has decayed to zero.
  Duration mReportDecay = std::chrono::seconds(2);

  /// A new or readmitted backend server counts as more loaded for this long.
  Duration mSlowStart = std::chrono::seconds(10);
  double mSlowStartShare = 0.1; ///< Minimum weight; the full weight is 1.

  /// A probe without a reported outcome counts as ended after this time.
  Duration mProbeTimeout = std::chrono::seconds(30);

  /// Maximum random draws before a scan, for the own domain and for all each.
  std::size_t mMaxDraws = 6;

  /// Maximum number of backend servers that a scan checks, which bounds the
  /// cost of a pick when nearly all are full.
  std::size_t mMaxScan = 64;
};

} // namespace foxtailbarrow
