#include "apps/scheduler/StoreProbe.h"

#include <chrono>
#include <utility>

#include "src/core/cell/records/CellRecords.h"
#include "src/telemetry/Log.h"

namespace foxtailbarrow::scheduler {

namespace {

/// Longest time without an answer of the store.
constexpr Duration kInterval = std::chrono::milliseconds(300);

} // namespace

void StoreProbe::Round()
{
  absl::Status status;
  const bool silent = !mStore.Answers();
  if (silent || mStore.SinceAnswer() >= kInterval) {
    const bool serves = !silent && mStore.OutageAge() == Duration::zero();
    status = (serves ? mStore.ReadSerializable(cell::kCellKey)
                     : mStore.Read(cell::kCellKey))
               .status();
  }
  const bool answers = mStore.Answers();
  if (answers != std::exchange(mLoggedAnswers, answers)) {
    LogChange(answers ? "store-answers" : "store-silent",
              { { "status", status.ToString() } });
  }
}

} // namespace foxtailbarrow::scheduler
