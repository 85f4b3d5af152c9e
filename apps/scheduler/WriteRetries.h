#pragma once

#include "absl/status/status.h"

#include "foxtailbarrow/Time.h"
#include "src/core/cell/JobRequest.h"

namespace foxtailbarrow::scheduler {

/// Retries a request's write until its outcome is known, the store keeps
/// refusing it, or the caller's deadline is near.
class WriteRetries
{
public:
  explicit WriteRetries(Instant aDeadline)
    : mDeadline(aDeadline)
  {
  }

  /// Records a failed attempt without waiting.
  void OnFailure(const absl::Status& aStatus);

  /// Records a failed attempt. If there is time for another, suspends the fiber
  /// for a pause and returns true.
  bool WaitToRetry(const absl::Status& aStatus);

  /// Refusal for the caller after the last attempt.
  cell::JobRefused Refusal() const;

private:
  Instant mDeadline;
  absl::Status mLast;
  int mRefusals = 0;
  bool mMayHaveRun = false;
};

} // namespace foxtailbarrow::scheduler
