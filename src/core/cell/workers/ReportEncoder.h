#pragma once

#include <optional>

#include "src/core/cell/CellMessages.h"

namespace foxtailbarrow::cell {

/// Encodes an agent's reports as changes since the last report that the owner
/// accepted in the current session. Pure.
class ReportEncoder
{
public:
  /// Puts the full state into the report, or what changed since the last report
  /// that the owner accepted. Call it once for each report, in order.
  void Fill(WorkerState aState, Instant aNow, ReportRequest& aReport);

  /// The owner accepted this report.
  void OnAccepted(const ReportRequest& aReport);

  /// The owner's state is unknown: the next report is a full one.
  void Forget() { mAccepted.reset(); }

  /// The worker's incarnation in the newest report.
  const WorkerIncarnation& Incarnation() const { return mIncarnation; }

  /// Minimum time between two reports with figures, which cover half a second.
  /// Reports that are sent because a task ended leave them out.
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
