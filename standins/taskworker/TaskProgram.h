#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::standin {

/// What a task simulates, given by the payload of its job:
///   "work=300"    completes after 300 ms of work
///   "fails=300"   fails after 300 ms of work
///   "stands"      runs until stopped
///   "crashes=10"  crashes its worker after 10 ms
///   "serves=1"    serving task of image 1, runs until stopped
///   "fills=300:2" best-effort task of image 2, completes after 300 ms of work
///                 and interferes with serving tasks
struct TaskProgram
{
  Duration mWork{};
  bool mFails = false;
  bool mRunsUntilStopped = false;
  bool mCrashes = false;
  std::optional<int> mServingImage{};
  std::optional<int> mBestEffortImage{};
};

TaskProgram ParseTaskProgram(std::string_view aPayload);
std::string FormatTaskProgram(const TaskProgram& aProgram);

} // namespace foxtailbarrow::standin
