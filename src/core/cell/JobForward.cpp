#include "src/core/cell/JobForward.h"

#include <utility>

#include "src/core/base/EnumText.h"

namespace foxtailbarrow::cell {

namespace {

constexpr EnumText<ForwardedKind, 4> kKinds({
  { ForwardedKind::Submit, "submit" },
  { ForwardedKind::Read, "read" },
  { ForwardedKind::Cancel, "cancel" },
  { ForwardedKind::Count, "count" },
});

constexpr EnumText<ForwardedOutcome, 7> kOutcomes({
  { ForwardedOutcome::Accepted, "accepted" },
  { ForwardedOutcome::Shown, "shown" },
  { ForwardedOutcome::Cancelled, "cancelled" },
  { ForwardedOutcome::Counted, "counted" },
  { ForwardedOutcome::NoSuchJob, "no-such-job" },
  { ForwardedOutcome::NotRun, "not-run" },
  { ForwardedOutcome::InDoubt, "in-doubt" },
});

struct RequestForwarder
{
  ForwardedRequest operator()(const SubmitJob& aSubmit) const
  {
    return { .mKind = ForwardedKind::Submit,
             .mJob = {},
             .mGraph = { aSubmit.mGraph },
             .mQueue = {} };
  }
  ForwardedRequest operator()(const ReadJob& aRead) const
  {
    return { ForwardedKind::Read, aRead.mJob, {}, {}, {} };
  }
  ForwardedRequest operator()(const CancelJob& aCancel) const
  {
    return { ForwardedKind::Cancel, aCancel.mJob, {}, {}, {} };
  }
  ForwardedRequest operator()(const CountWaitingJobs& aCount) const
  {
    return { ForwardedKind::Count, {}, {}, aCount.mQueue, {} };
  }
};

struct AnswerForwarder
{
  ForwardedReply operator()(const JobAccepted&) const
  {
    return { ForwardedOutcome::Accepted, {}, 0, {}, 0 };
  }
  ForwardedReply operator()(const JobShown& aShown) const
  {
    return { ForwardedOutcome::Shown, aShown.mPhase, 0, {}, 0 };
  }
  ForwardedReply operator()(const JobCancelled&) const
  {
    return { ForwardedOutcome::Cancelled, {}, 0, {}, 0 };
  }
  ForwardedReply operator()(const WaitingCounted& aCounted) const
  {
    return { ForwardedOutcome::Counted, {}, aCounted.mWaiting, {}, 0 };
  }
  ForwardedReply operator()(const NoSuchJob&) const
  {
    return { ForwardedOutcome::NoSuchJob, {}, 0, {}, 0 };
  }
  ForwardedReply operator()(const JobRefused& aRefused) const
  {
    return { aRefused.mVerdict == Verdict::NotRun ? ForwardedOutcome::NotRun
                                                  : ForwardedOutcome::InDoubt,
             {},
             0,
             aRefused.mMessage,
             0 };
  }
};

} // namespace

std::string_view ToString(ForwardedKind aKind)
{
  return kKinds.Text(aKind);
}

std::string_view ToString(ForwardedOutcome aOutcome)
{
  return kOutcomes.Text(aOutcome);
}

ForwardedRequest ToForwarded(const JobRequest& aRequest)
{
  ForwardedRequest forwarded = std::visit(RequestForwarder(), aRequest.mBody);
  forwarded.mTimeout = aRequest.mTimeout;
  return forwarded;
}

JobRequest FromForwarded(const ForwardedRequest& aRequest)
{
  JobRequest request;
  request.mTimeout = aRequest.mTimeout;
  switch (aRequest.mKind) {
    case ForwardedKind::Submit:
      request.mBody =
        SubmitJob{ aRequest.mGraph.empty() ? JobGraph()
                                           : aRequest.mGraph.front() };
      break;
    case ForwardedKind::Read:
      request.mBody = ReadJob{ aRequest.mJob };
      break;
    case ForwardedKind::Cancel:
      request.mBody = CancelJob{ aRequest.mJob };
      break;
    case ForwardedKind::Count:
      request.mBody = CountWaitingJobs{ aRequest.mQueue };
      break;
  }
  return request;
}

ForwardedReply ToForwarded(const JobAnswer& aAnswer)
{
  return std::visit(AnswerForwarder(), aAnswer);
}

JobAnswer FromForwarded(const ForwardedReply& aReply)
{
  switch (aReply.mOutcome) {
    case ForwardedOutcome::Accepted:
      return JobAccepted{};
    case ForwardedOutcome::Shown:
      return JobShown{ aReply.mPhase };
    case ForwardedOutcome::Cancelled:
      return JobCancelled{};
    case ForwardedOutcome::Counted:
      return WaitingCounted{ aReply.mWaiting };
    case ForwardedOutcome::NoSuchJob:
      return NoSuchJob{};
    case ForwardedOutcome::NotRun:
      return JobRefused{ RefusalCause::StoreUnavailable,
                         Verdict::NotRun,
                         aReply.mMessage };
    case ForwardedOutcome::InDoubt:
      break;
  }
  return JobRefused{ RefusalCause::Unknown,
                     Verdict::MayHaveRun,
                     aReply.mMessage };
}

bool ShouldForward(const JobAnswer& aAnswer)
{
  const auto* refused = std::get_if<JobRefused>(&aAnswer);
  return refused != nullptr && refused->mVerdict == Verdict::NotRun &&
         (refused->mCause == RefusalCause::StoreUnavailable ||
          refused->mCause == RefusalCause::NotReady);
}

} // namespace foxtailbarrow::cell
