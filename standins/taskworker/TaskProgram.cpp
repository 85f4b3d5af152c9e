#include "standins/taskworker/TaskProgram.h"

#include <charconv>

namespace foxtailbarrow::standin {

namespace {

constexpr std::string_view kWork = "work=";
constexpr std::string_view kFails = "fails=";
constexpr std::string_view kCrashes = "crashes=";
constexpr std::string_view kStands = "stands";
constexpr std::string_view kServes = "serves=";
constexpr std::string_view kFills = "fills=";

int Number(std::string_view aText)
{
  int number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::chrono::milliseconds Milliseconds(std::string_view aText)
{
  return std::chrono::milliseconds(Number(aText));
}

} // namespace

TaskProgram ParseTaskProgram(std::string_view aPayload)
{
  if (aPayload.starts_with(kFails)) {
    return { Milliseconds(aPayload.substr(kFails.size())), true };
  }
  if (aPayload.starts_with(kCrashes)) {
    return {
      Milliseconds(aPayload.substr(kCrashes.size())), false, false, true
    };
  }
  if (aPayload.starts_with(kWork)) {
    return { Milliseconds(aPayload.substr(kWork.size())) };
  }
  if (aPayload.starts_with(kServes)) {
    TaskProgram program{ Duration::zero(), false, true };
    program.mServingImage = Number(aPayload.substr(kServes.size()));
    return program;
  }
  if (aPayload.starts_with(kFills)) {
    const std::string_view text = aPayload.substr(kFills.size());
    TaskProgram program{ Milliseconds(text) };
    program.mBestEffortImage = Number(text.substr(text.find(':') + 1));
    return program;
  }
  return { Duration::zero(), false, aPayload == kStands };
}

std::string FormatTaskProgram(const TaskProgram& aProgram)
{
  if (aProgram.mServingImage) {
    return std::string(kServes) + std::to_string(*aProgram.mServingImage);
  }
  if (aProgram.mRunsUntilStopped) {
    return std::string(kStands);
  }
  const auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(aProgram.mWork);
  if (aProgram.mBestEffortImage) {
    return std::string(kFills) + std::to_string(ms.count()) + ":" +
           std::to_string(*aProgram.mBestEffortImage);
  }
  const std::string_view kind = aProgram.mCrashes ? kCrashes
                                : aProgram.mFails ? kFails
                                                  : kWork;
  return std::string(kind) + std::to_string(ms.count());
}

} // namespace foxtailbarrow::standin
