#pragma once

#include <optional>

#include "src/core/cell/CellMessages.h"

namespace foxtailbarrow::cell {

/// An agent's side of reports that tell only what changed: remembers what the
/// owner has taken in the present session. Pure.
class ReportEncoder
{
public:
  /// Puts the state into the report, or what changed of it since the last
  /// report that the owner took. Call once for each report, in their order.
  void Fill(WorkerState aState, Instant aNow, ReportRequest& aReport);

  /// The owner took this report.
  void OnAccepted(const ReportRequest& aReport);

  /// It is not known what the owner holds: the next report tells all.
  void Forget() { mAccepted.reset(); }

  /// Of the worker in the newest report.
  const WorkerIncarnation& Incarnation() const { return mIncarnation; }

  /// Between two reports of figures. They cover half a second; reports that
  /// come because a task ended leave them out.
  static constexpr Duration kFiguresInterval = std::chrono::milliseconds(460);

private:
  struct Accepted
  {
    std::int64_t mSequence = 0;
    WorkerState mState;
  };

  bool CanSendChange(const WorkerState& aState) const;

  std::optional<Accepted> mAccepted;
  WorkerIncarnation mIncarnation;
  Instant mFiguresAt{};
};

} // namespace foxtailbarrow::cell
