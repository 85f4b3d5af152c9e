#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "src/core/cell/TaskWorker.h"

namespace foxtailbarrow::taskagent::test {

/// A worker that carries out paces, and may leave them without an answer and
/// carry them out when it is told to. Answers looks at once.
class PacedWorker final : public cell::TaskWorker
{
public:
  struct Task
  {
    cell::RunNumber mRun = 0;
    std::int64_t mFigure = 0;
    std::int32_t mPace = 100;
  };

  std::map<cell::TaskRef, Task> mTasks;
  bool mLosesPaces = false;
  int mPacesAtOnce = 0; ///< Calls without an answer yet.
  int mMostPacesAtOnce = 0;
  Duration mPaceTakes{}; ///< Until a pace is answered.

  /// Paces that got no answer, unless a higher fence was seen since.
  void CarryOutLate();
  std::size_t Late() const { return mLate.size(); }

  void Expect(const cell::WorkerIncarnation&) override {}
  absl::StatusOr<bool> IsThere(const cell::WorkerIncarnation&,
                               cell::Fence,
                               Duration) override
  {
    return true;
  }
  absl::StatusOr<cell::StartReply> Start(const cell::StartCall& aCall,
                                         Duration) override;
  absl::Status Stop(const cell::StopCall& aCall, Duration) override;
  absl::Status Pace(const cell::PaceCall& aCall, Duration) override;
  absl::StatusOr<cell::LookReply> Look(const cell::LookCall& aCall,
                                       Duration) override;

private:
  absl::Status TakeFence(cell::Fence aFence);
  void Apply(const cell::PaceCall& aCall);

  cell::Fence mFence = 0;
  std::vector<cell::PaceCall> mLate;
};

} // namespace foxtailbarrow::taskagent::test
