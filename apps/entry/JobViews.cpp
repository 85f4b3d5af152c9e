#include "apps/entry/JobViews.h"

#include <string>

#include "src/core/message/Codec.h"

namespace foxtailbarrow::entry {

namespace {

std::string Text(std::string_view aText)
{
  return std::string(aText);
}

Json::Value ToJsonView(const Decision& aDecision,
                       const WorkerIndex& aWorkers,
                       Instant aNow)
{
  Json::Value view(Json::objectValue);
  const Duration age = aNow - aDecision.mAt;
  view["ageMs"] = Json::Int64(
    std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
  view["epoch"] = Json::UInt64(aDecision.mEpoch);
  view["state"] = Text(ToString(aDecision.mState));
  view["reason"] = Text(ToString(aDecision.mReason));
  view["times"] = aDecision.mTimes;
  if (aDecision.mWorker != Decision::kNoWorker) {
    view["agent"] = aWorkers.At(aDecision.mWorker).mAgent.Value();
  }
  return view;
}

} // namespace

Json::Value SummaryOf(const JobRecord& aRecord)
{
  Json::Value view(Json::objectValue);
  view["id"] = aRecord.mSpec.mId.Value();
  view["customer"] = aRecord.mSpec.mCustomer.Value();
  view["kind"] = Text(ToString(aRecord.mSpec.mKind));
  view["priority"] = Text(ToString(aRecord.mSpec.mPriority));
  view["state"] = Text(ToString(aRecord.mState));
  view["epoch"] = Json::UInt64(aRecord.mEpoch);
  view["attempts"] = aRecord.mAttempts;
  view["evictions"] = aRecord.mEvictions;
  view["reason"] = aRecord.mReason;
  if (aRecord.mAgent) {
    view["agent"] = aRecord.mAgent->Value();
  }
  return view;
}

Json::Value ExplanationOf(const JobScheduler& aScheduler,
                          const JobId& aJob,
                          Instant aNow)
{
  const JobRecord* record = aScheduler.Find(aJob);
  if (record == nullptr) {
    return Json::nullValue;
  }
  Json::Value view(Json::objectValue);
  view["record"] = ToJson(*record);
  view["decisions"] = Json::Value(Json::arrayValue);
  for (const Decision& decision : aScheduler.Explain(aJob)) {
    view["decisions"].append(ToJsonView(decision, aScheduler.Workers(), aNow));
  }
  return view;
}

} // namespace foxtailbarrow::entry
