#include "standins/taskworker/TaskProgram.h"

#include <charconv>

namespace foxtailbarrow::standin {

namespace {

constexpr std::string_view kWork = "work=";
constexpr std::string_view kFails = "fails=";
constexpr std::string_view kCrashes = "crashes=";
constexpr std::string_view kStands = "stands";

std::chrono::milliseconds Milliseconds(std::string_view aText)
{
  std::int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return std::chrono::milliseconds(number);
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
  return { Duration::zero(), false, aPayload == kStands };
}

std::string FormatTaskProgram(const TaskProgram& aProgram)
{
  if (aProgram.mStands) {
    return std::string(kStands);
  }
  const auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(aProgram.mWork);
  const std::string_view kind = aProgram.mCrashes ? kCrashes
                                : aProgram.mFails ? kFails
                                                  : kWork;
  return std::string(kind) + std::to_string(ms.count());
}

} // namespace foxtailbarrow::standin
