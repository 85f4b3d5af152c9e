#include "src/core/cell/TaskMetadataTable.h"

namespace foxtailbarrow::cell {

namespace {

/// A task that is not in so many looks has ended. Not at the first one: a look
/// that was sent before a start was answered does not show the task.
constexpr int kMissedLooks = 100;

} // namespace

TaskMetadataTable::Entry& TaskMetadataTable::Set(const TaskMetadata& aTraits)
{
  Entry& entry = mEntries[aTraits.mTask];
  entry.mMetadata = aTraits;
  entry.mMissed = 0;
  return entry;
}

void TaskMetadataTable::OnStart(const TaskMetadata& aTraits, RunNumber aRun)
{
  Set(aTraits).mStarted = aRun;
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
    return aEntry.second.mMissed > kMissedLooks;
  });
}

} // namespace foxtailbarrow::cell
