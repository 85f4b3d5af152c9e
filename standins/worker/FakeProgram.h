#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Worker.h"

namespace foxtailbarrow::standin {

/// Behaviour of the fake program "sleep", given by a task's arguments:
/// `{"runMs":1000,"fail":false,"usedMillicores":500,"usedMemoryMb":100}`.
/// All members are optional.
struct FakeProgram
{
  /// Run time at full speed; nullopt = runs until stopped, the default of
  /// standing tasks.
  std::optional<Duration> mRun;
  bool mFail = false; ///< Ends without success.
  Resources mUsed;    ///< At full speed; by default the reservation.
};

/// nullopt unless the arguments are empty or a JSON object of this form.
std::optional<FakeProgram> ParseFakeProgram(const TaskStart& aStart);

/// Reference of a checkpoint, which encodes the work done so far.
std::string CheckpointText(const TaskKey& aKey, Duration aDone);

/// Work of a checkpoint; nullopt unless made by CheckpointText().
std::optional<Duration> ParseCheckpoint(const std::string& aText);

} // namespace foxtailbarrow::standin
