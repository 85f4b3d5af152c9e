#include "src/core/cell/TraitsBook.h"

namespace foxtailbarrow::cell {

namespace {

/// A task that is not in so many looks has ended. Not at the first one: a look
/// that was sent before a start was answered does not show the task.
constexpr int kMissedLooks = 100;

} // namespace

TraitsBook::Entry& TraitsBook::Note(const TaskTraits& aTraits)
{
  Entry& entry = mEntries[aTraits.mTask];
  entry.mTraits = aTraits;
  entry.mMissed = 0;
  return entry;
}

void TraitsBook::NoteStart(const TaskTraits& aTraits, RunNumber aRun)
{
  Note(aTraits).mStarted = aRun;
}

const TraitsBook::Entry* TraitsBook::Find(const TaskRef& aTask) const
{
  const auto found = mEntries.find(aTask);
  return found == mEntries.end() ? nullptr : &found->second;
}

const std::string& TraitsBook::ImageOf(const TaskRef& aTask) const
{
  return mEntries.at(aTask).mTraits.mImage;
}

void TraitsBook::BeginLook()
{
  for (auto& [task, entry] : mEntries) {
    ++entry.mMissed;
  }
}

const TraitsBook::Entry* TraitsBook::See(const TaskRef& aTask)
{
  const auto found = mEntries.find(aTask);
  if (found == mEntries.end()) {
    return nullptr;
  }
  found->second.mMissed = 0;
  return &found->second;
}

void TraitsBook::EndLook()
{
  std::erase_if(mEntries, [](const auto& aEntry) {
    return aEntry.second.mMissed > kMissedLooks;
  });
}

} // namespace foxtailbarrow::cell
