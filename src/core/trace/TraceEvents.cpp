#include "src/core/trace/TraceEvents.h"

#include <chrono>

#include <json/value.h>

#include "src/core/message/Json.h"

namespace foxtailbarrow {

namespace {

std::string Arguments(const TraceJob& aJob)
{
  Json::Value arguments(Json::objectValue);
  if (aJob.mRunMs > 0) {
    arguments["runMs"] = Json::Int64{ aJob.mRunMs };
  }
  if (aJob.mFails) {
    arguments["fail"] = true;
  }
  if (aJob.mUsed != Resources{}) {
    arguments["usedMillicores"] = Json::Int64{ aJob.mUsed.mMillicores };
    arguments["usedMemoryMb"] = Json::Int64{ aJob.mUsed.mMemoryMb };
  }
  return FormatJson(arguments);
}

} // namespace

std::int64_t AtMs(const TraceEvent& aEvent)
{
  return std::visit([](const auto& aLine) { return aLine.mAtMs; }, aEvent);
}

JobSpec ToJobSpec(const TraceJob& aJob)
{
  JobSpec spec;
  spec.mId = aJob.mId;
  spec.mCustomer = aJob.mCustomer;
  spec.mKind = aJob.mKind;
  spec.mPriority = aJob.mPriority;
  spec.mDeclared = aJob.mDeclared;
  spec.mDeclaredRunTime = std::chrono::milliseconds(aJob.mDeclaredRunMs);
  spec.mProgram = aJob.mProgram;
  spec.mArguments = Arguments(aJob);
  return spec;
}

} // namespace foxtailbarrow
