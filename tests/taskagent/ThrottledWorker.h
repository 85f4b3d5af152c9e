#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "src/core/cell/TaskWorker.h"

namespace foxtailbarrow::taskagent::test {

/// A worker that carries out paces, and may leave them without an answer and
/// carry them out when it is told to. Answers looks at once.
class ThrottledWorker final : public cell::TaskWorker
{
public:
  struct Task
  {
    cell::RunNumber mRun = 0;
    std::int64_t mFigure = 0;
    std::int32_t mThrottle = 100;
  };

  std::map<cell::TaskRef, Task> mTasks;
  bool mDropsThrottles = false;
  int mConcurrentThrottles = 0; ///< Calls without an answer yet.
  int mMaxConcurrentThrottles = 0;
  Duration mThrottleDelay{}; ///< Until a pace is answered.

  /// Paces that got no answer, unless a higher fence was seen since.
  void CarryOutLate();
  std::size_t Late() const { return mLate.size(); }

  void Expect(const cell::WorkerIncarnation&) override {}
  absl::StatusOr<bool> IsPresent(const cell::WorkerIncarnation&,
                                 cell::Fence,
                                 Duration) override
  {
    return true;
  }
  absl::StatusOr<cell::StartReply> Start(const cell::StartCall& aCall,
                                         Duration) override;
  absl::Status Stop(const cell::StopCall& aCall, Duration) override;
  absl::Status Throttle(const cell::ThrottleCall& aCall, Duration) override;
  absl::StatusOr<cell::PollReply> Poll(const cell::PollCall& aCall,
                                       Duration) override;

private:
  absl::Status AcceptFence(cell::Fence aFence);
  void Apply(const cell::ThrottleCall& aCall);

  cell::Fence mFence = 0;
  std::vector<cell::ThrottleCall> mLate;
};

} // namespace foxtailbarrow::taskagent::test
