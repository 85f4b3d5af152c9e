#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

#include <json/json.h>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Ms = std::chrono::milliseconds;

inline TimePoint Now()
{
  return Clock::now();
}

inline std::string Format(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

inline Json::Value Parse(const std::string& aText)
{
  Json::Value value;
  Json::CharReaderBuilder builder;
  std::string errors;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  if (!reader->parse(
        aText.data(), aText.data() + aText.size(), &value, &errors)) {
    return Json::objectValue;
  }
  return value;
}

/// What was sent, answered and run, with seconds from the start of the case.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
    , mStart(Now())
  {
  }

  double Seconds(TimePoint aAt) const
  {
    return std::chrono::duration<double>(aAt - mStart).count();
  }

  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", Seconds(Now()));
    mFile << time << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  TimePoint mStart;
};

} // namespace review
