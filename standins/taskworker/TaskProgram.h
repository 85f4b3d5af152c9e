#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// What a task pretends to do, as its job's payload says: "work=300" runs for
/// 300 ms, "fails=300" fails after 300 ms, "stands" runs until it is stopped,
/// "crashes=10" takes its worker down after 10 ms. Beside these, "serves=1"
/// stands and is of the serving image 1, and "fills=300:2" works for 300 ms, is
/// of the leftover image 2 and disturbs serving tasks.
struct TaskProgram
{
  Duration mWork{};
  bool mFails = false;
  bool mRunsUntilStopped = false;
  bool mCrashes = false;
  std::optional<int> mServingImage{};    ///< Image.
  std::optional<int> mBestEffortImage{}; ///< Image.
};

TaskProgram ParseTaskProgram(std::string_view aPayload);
std::string FormatTaskProgram(const TaskProgram& aProgram);

} // namespace foxtailbarrow::standin
