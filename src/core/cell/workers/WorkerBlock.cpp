#include "src/core/cell/workers/WorkerBlock.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow::cell {

namespace {

constexpr std::size_t kBlocks = 12;

constexpr EnumText<WorkerBlock, kBlocks> kNames({
  { WorkerBlock::None, "none" },
  { WorkerBlock::Unknown, "unknown" },
  { WorkerBlock::Draining, "draining" },
  { WorkerBlock::Cordoned, "cordoned" },
  { WorkerBlock::Detached, "detached" },
  { WorkerBlock::Silent, "silent" },
  { WorkerBlock::AwaitsReport, "awaits-report" },
  { WorkerBlock::Unhealthy, "unhealthy" },
  { WorkerBlock::ForeignTasks, "foreign-tasks" },
  { WorkerBlock::FailsTasks, "fails-tasks" },
  { WorkerBlock::NoGrant, "no-grant" },
  { WorkerBlock::RecordClosed, "record-closed" },
});

} // namespace

std::string_view ToString(WorkerBlock aBlock)
{
  return kNames.Text(aBlock);
}

WorkerBlock LastingBlockOf(const WorkerEntry& aWorker)
{
  if (aWorker.mInfo.mIncarnation.Empty()) {
    return WorkerBlock::Unknown;
  }
  if (aWorker.mInfo.mDraining) {
    return WorkerBlock::Draining;
  }
  return aWorker.mCordoned ? WorkerBlock::Cordoned : WorkerBlock::None;
}

WorkerBlock BlockOf(const WorkerEntry& aWorker, Instant aNow)
{
  if (const WorkerBlock lasting = LastingBlockOf(aWorker);
      lasting != WorkerBlock::None) {
    return lasting;
  }
  if (aWorker.mLink != WorkerLink::Attached) {
    return WorkerBlock::Detached;
  }
  if (!aWorker.mAnswers) {
    return WorkerBlock::Silent;
  }
  if (aWorker.mAwaitsReport) {
    return WorkerBlock::AwaitsReport;
  }
  if (aWorker.Unhealthy()) {
    return WorkerBlock::Unhealthy;
  }
  if (!aWorker.mForeign.empty()) {
    return WorkerBlock::ForeignTasks;
  }
  if (aWorker.mAvoidUntil > aNow) {
    return WorkerBlock::FailsTasks;
  }
  if (aWorker.mGrantedUntil <= aNow) {
    return WorkerBlock::NoGrant;
  }
  return aWorker.mRecordClosed ? WorkerBlock::RecordClosed : WorkerBlock::None;
}

} // namespace foxtailbarrow::cell
