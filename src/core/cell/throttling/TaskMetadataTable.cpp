#include "src/core/cell/throttling/TaskMetadataTable.h"

namespace foxtailbarrow::cell {

namespace {

/// A task missing from this many consecutive polls has ended. More than one,
/// because a poll that was sent before a start was answered does not list the
/// task.
constexpr int kMissedPolls = 100;

} // namespace

TaskMetadataTable::Entry& TaskMetadataTable::Set(const TaskMetadata& aMetadata)
{
  Entry& entry = mEntries[aMetadata.mTask];
  entry.mMetadata = aMetadata;
  entry.mMissed = 0;
  return entry;
}

void TaskMetadataTable::OnStart(const TaskMetadata& aMetadata, RunNumber aRun)
{
  Set(aMetadata).mStarted = aRun;
}

const TaskMetadataTable::Entry* TaskMetadataTable::Find(
  const TaskRef& aTask) const
{
  const auto found = mEntries.find(aTask);
  return found == mEntries.end() ? nullptr : &found->second;
}

const std::string& TaskMetadataTable::ImageOf(const TaskRef& aTask) const
{
  return mEntries.at(aTask).mMetadata.mImage;
}

void TaskMetadataTable::BeginPoll()
{
  for (auto& [task, entry] : mEntries) {
    ++entry.mMissed;
  }
}

const TaskMetadataTable::Entry* TaskMetadataTable::OnObserved(
  const TaskRef& aTask)
{
  const auto found = mEntries.find(aTask);
  if (found == mEntries.end()) {
    return nullptr;
  }
  found->second.mMissed = 0;
  return &found->second;
}

void TaskMetadataTable::EndPoll()
{
  std::erase_if(mEntries, [](const auto& aEntry) {
    return aEntry.second.mMissed > kMissedPolls;
  });
}

} // namespace foxtailbarrow::cell
