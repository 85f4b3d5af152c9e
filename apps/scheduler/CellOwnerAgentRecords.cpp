#include "apps/scheduler/CellOwner.h"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

#include "src/core/cell/records/CellRecords.h"
#include "src/core/cell/recovery/RecordClosing.h"
#include "src/core/message/Codec.h"
#include "src/telemetry/Log.h"

/// Records of agents. The next owner waits for every agent that has one: for
/// all tasks if the record is open, for those that it names if it is closed.
namespace foxtailbarrow::scheduler {

using namespace cell;

namespace {

/// True if a closed record should be written again. A draining worker's
/// standing tasks are stopped first and start elsewhere; the next owner must
/// not wait for them. Halving bounds the writes for one drain.
bool IsMuchShorter(std::span<const TaskRef> aTasks,
                   std::span<const TaskRef> aSaved)
{
  return !aSaved.empty() && 2 * aTasks.size() <= aSaved.size();
}

} // namespace

/// Returns true once the store holds the record. The write is conditional on
/// the last known revision of the record; if the store holds another one, from
/// a write whose answer was lost or from another writer, it is replaced.
bool CellOwner::WriteAgentRecord(const AgentId& aAgent,
                                 AgentLink& aLink,
                                 const AgentContact& aContact)
{
  const std::string key = AgentKey(aAgent);
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  transaction.mCompares.push_back({ key, aLink.mRecordRevision });
  transaction.mWrites.push_back({ key, ToJsonText(aContact) });
  auto result = mParts.mStore.Commit(transaction);
  if (result.ok() && !result->mApplied) {
    const auto found =
      std::ranges::find(result->mCurrent, key, &StoreEntry::mKey);
    const Revision revision =
      found == result->mCurrent.end() ? 0 : found->mModRevision;
    if (revision == std::exchange(aLink.mRecordRevision, revision)) {
      return false; // Another owner has the cell.
    }
    transaction.mCompares.back().mModRevision = revision;
    result = mParts.mStore.Commit(transaction);
  }
  if (!result.ok() || !result->mApplied) {
    return false;
  }
  aLink.mRecordRevision = result->mRevision;
  return true;
}

/// An agent is attached only after its record is in the store, so that the next
/// owner knows all agents that may run tasks.
bool CellOwner::SaveAgentRecord(const AgentId& aAgent, AgentLink& aLink)
{
  if (aLink.mSaved) {
    return true;
  }
  if (aLink.mRecordInFlight) {
    return false; // It may be opening the record that this would close.
  }
  const Endpoint endpoint = aLink.mEndpoint;
  const bool written = WriteAgentRecord(
    aAgent, aLink, { endpoint, aLink.mRecordClosed, aLink.mClosedTasks });
  aLink.mSaved = written && endpoint == aLink.mEndpoint;
  return aLink.mSaved;
}

/// Closes or opens the record if the worker's state calls for it. Does not wait
/// for the store: orders to the worker go on meanwhile.
void CellOwner::UpdateAgentRecord(const AgentId& aAgent, AgentLink& aLink)
{
  const auto found = mLogic.Workers().find(aAgent);
  if (found == mLogic.Workers().end() || !aLink.mSaved ||
      aLink.mRecordInFlight) {
    return;
  }
  const WorkerEntry& worker = found->second;
  const bool close =
    mSettings.LooksAhead() && ShouldCloseRecord(worker, MonotonicNow());
  const bool open = !close && aLink.mRecordClosed &&
                    worker.mLink == WorkerLink::Attached &&
                    !worker.mInfo.mDraining;
  if (close && !aLink.mRecordClosed) {
    aLink.mRecordClosed = true;
    aLink.mCloseSaved = false;
    mLogic.SetRecordClosed(aAgent, true);
  }
  if (!open && !close) {
    return;
  }
  if (close) {
    // Nothing starts there from here on, so the list can only get shorter.
    std::vector<TaskRef> tasks = mLogic.TasksToAwait(aAgent);
    if (aLink.mCloseSaved && !IsMuchShorter(tasks, aLink.mClosedTasks)) {
      return;
    }
    aLink.mCloseSaved = false;
    aLink.mClosedTasks = std::move(tasks);
  }
  aLink.mRecordInFlight = true;
  mParts.mRuntime.Spawn([self = shared_from_this(), aAgent, &aLink, open] {
    open ? self->OpenAgentRecord(aAgent, aLink)
         : self->CloseAgentRecord(aAgent, aLink);
    aLink.mRecordInFlight = false;
    aLink.mWaker.Wake();
  });
}

void CellOwner::CloseAgentRecord(const AgentId& aAgent, AgentLink& aLink)
{
  const std::size_t tasks = aLink.mClosedTasks.size();
  aLink.mCloseSaved = WriteAgentRecord(
    aAgent, aLink, { aLink.mEndpoint, true, aLink.mClosedTasks });
  if (aLink.mCloseSaved) {
    LogChange("agent-record-closed",
              { { "agent", aAgent },
                { "tasks", tasks },
                { "revision", aLink.mRecordRevision } });
  }
}

void CellOwner::OpenAgentRecord(const AgentId& aAgent, AgentLink& aLink)
{
  if (!WriteAgentRecord(aAgent, aLink, { aLink.mEndpoint, false, {} })) {
    return;
  }
  aLink.mRecordClosed = false;
  aLink.mCloseSaved = false;
  aLink.mClosedTasks.clear();
  mLogic.SetRecordClosed(aAgent, false);
  LogChange("agent-record-opened",
            { { "agent", aAgent }, { "revision", aLink.mRecordRevision } });
  mScheduleWaker.Wake();
}

/// The next owner waits for every agent that has a record, even if it has left:
/// the record stays until the ends there are saved.
void CellOwner::RemoveAgentRecord(const AgentId& aAgent, AgentLink& aLink)
{
  if (aLink.mRecordInFlight || !mLogic.TasksToAwait(aAgent).empty() ||
      !std::exchange(aLink.mSaved, false)) {
    return;
  }
  StoreTransaction transaction;
  transaction.mCompares.push_back(CellUnchanged());
  transaction.mCompares.push_back({ AgentKey(aAgent), aLink.mRecordRevision });
  transaction.mWrites.push_back({ AgentKey(aAgent), std::nullopt });
  const auto result = mParts.mStore.Commit(transaction);
  LogChange("agent-record-removed",
            { { "agent", aAgent },
              { "revision", aLink.mRecordRevision },
              { "outcome",
                !result.ok()       ? result.status().ToString()
                : result->mApplied ? "ok"
                                   : "changed" } });
  if (result.ok() && result->mApplied) {
    aLink.mRecordRevision = 0;
    aLink.mRecordClosed = false;
    aLink.mCloseSaved = false;
    aLink.mClosedTasks.clear();
    mLogic.SetRecordClosed(aAgent, false);
  }
}

void CellOwner::ForgetAgent(const AgentId& aAgent, AgentLink& aLink)
{
  LogChange("agent-forgotten", { { "agent", aAgent } });
  RemoveAgentRecord(aAgent, aLink);
  mAgentLinks.erase(aAgent);
}

} // namespace foxtailbarrow::scheduler
