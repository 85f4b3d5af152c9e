#pragma once

#include "absl/status/status.h"

#include "foxtailbarrow/Time.h"
#include "src/core/cell/JobRequest.h"

namespace foxtailbarrow::scheduler {

/// Tries a write of a request again until its fate is known, the store refuses
/// it for too long, or the caller's time is up.
class WriteRetries
{
public:
  explicit WriteRetries(Instant aDeadline)
    : mDeadline(aDeadline)
  {
  }

  void OnFailure(const absl::Status& aStatus);

  /// Notes a failed try. True when there is time for another, after a pause
  /// that suspends the fiber.
  bool WaitToRetry(const absl::Status& aStatus);

  cell::JobRefused Refusal() const;

private:
  Instant mDeadline;
  absl::Status mLast;
  int mRefusals = 0;
  bool mMayHaveRun = false;
};

} // namespace foxtailbarrow::scheduler
