#pragma once

#include <string>

#include "Record.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

struct CaseContext
{
  Record& mRecord;
  std::string mFolder; ///< For the logs of the processes.
  bool mTrouble = true;
};

/// A queue is removed from the configuration while a job of it is under way,
/// then the schedulers are restarted in turn.
int RunRemovedQueue(CaseContext& aContext);

/// The store leaves the write of a submission unanswered and carries it out
/// seconds later; the client cancels in between.
int RunLateSubmission(CaseContext& aContext);

/// An agent receives one heartbeat of another writer, in which fields are
/// missing.
int RunForeignHeartbeat(CaseContext& aContext);

/// A client submits a job that repeats each minute for a week.
int RunRepeatedJob(CaseContext& aContext);

/// A client submits a job whose data is on a rack with a space and a slash in
/// its name.
int RunRackName(CaseContext& aContext);

/// One runner crashes while a gang has just started there.
int RunGangAfterCrash(CaseContext& aContext);

} // namespace review
