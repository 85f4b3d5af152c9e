#include "apps/scheduler/RequestText.h"

namespace foxtailbarrow::scheduler {

using namespace cell;

std::string_view KindOf(const JobRequest& aRequest)
{
  struct Name
  {
    std::string_view operator()(const SubmitJob&) const { return "submit"; }
    std::string_view operator()(const ReadJob&) const { return "read"; }
    std::string_view operator()(const CancelJob&) const { return "cancel"; }
    std::string_view operator()(const CountWaitingJobs&) const
    {
      return "count";
    }
  };
  return std::visit(Name(), aRequest.mBody);
}

std::string OutcomeOf(const JobAnswer& aAnswer)
{
  struct Name
  {
    std::string operator()(const JobAccepted&) const { return "accepted"; }
    std::string operator()(const JobShown& aShown) const
    {
      return std::string(ToString(aShown.mPhase));
    }
    std::string operator()(const JobCancelled&) const { return "cancelled"; }
    std::string operator()(const WaitingCounted& aCounted) const
    {
      return "waiting-" + std::to_string(aCounted.mWaiting);
    }
    std::string operator()(const NoSuchJob&) const { return "no-such-job"; }
    std::string operator()(const JobRefused& aRefused) const
    {
      return std::string(ToString(aRefused.mCause)) + "," +
             std::string(ToString(aRefused.mVerdict)) + "," + aRefused.mMessage;
    }
  };
  return std::visit(Name(), aAnswer);
}

} // namespace foxtailbarrow::scheduler
