#include "src/core/cell/records/CellRecords.h"

namespace foxtailbarrow::cell {

namespace {

std::string Join(std::string_view aPrefix, const std::string& aName)
{
  return std::string(aPrefix) + aName;
}

} // namespace

std::string JobKey(const JobId& aJob)
{
  return Join(kJobPrefix, aJob.Value());
}

std::string ProgressKey(const JobId& aJob)
{
  return Join(kProgressPrefix, aJob.Value());
}

std::string AgentKey(const AgentId& aAgent)
{
  return Join(kAgentPrefix, aAgent.Value());
}

std::string_view KeyName(std::string_view aKey, std::string_view aPrefix)
{
  return aKey.substr(aPrefix.size());
}

StoredJob MakeTombstone(const JobId& aJob, std::int64_t aUnixMs)
{
  StoredJob tombstone;
  tombstone.mGraph.mId = aJob;
  tombstone.mGraph.mQueue = QueueId("none"); // Records need a name here.
  tombstone.mAcceptedUnixMs = aUnixMs;
  tombstone.mCancelled = true;
  return tombstone;
}

bool IsTombstone(const StoredJob& aJob)
{
  return aJob.mCancelled && aJob.mGraph.mSteps.empty();
}

JobPhase SavedPhase(const std::optional<StoredProgress>& aProgress)
{
  return aProgress ? aProgress->mPhase : JobPhase::Queued;
}

} // namespace foxtailbarrow::cell
