#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow::standin {

/// What the fake program "sleep" does, from a task's arguments:
/// `{"runMs":1000,"fail":false,"usedMillicores":500,"usedMemoryMb":100}`.
/// Every member may be left out.
struct FakeProgram
{
  /// Work to do, in time at full speed; nullopt = runs until stopped, which is
  /// the default of standing tasks.
  std::optional<Duration> mRun;
  bool mFail = false; ///< Ends without success.
  Resources mUsed;    ///< At full speed; by default what is reserved.
};

/// nullopt for arguments that are no JSON object of this form.
std::optional<FakeProgram> ParseFakeProgram(const TaskStart& aStart);

/// Reference of a checkpoint that holds the work done so far.
std::string CheckpointText(const TaskKey& aKey, Duration aDone);

/// Work held by a checkpoint; nullopt for a reference not made here.
std::optional<Duration> ParseCheckpoint(const std::string& aText);

} // namespace foxtailbarrow::standin
