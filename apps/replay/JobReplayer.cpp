#include "apps/replay/JobReplayer.h"

#include "absl/strings/str_cat.h"
#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/RequestHeaders.h"
#include "src/core/message/Codec.h"

namespace foxtailbarrow::replay {

namespace {

constexpr char kJobsTarget[] = "/foxtailbarrow/v1/jobs";
constexpr Duration kCallTimeout = std::chrono::seconds(5);
constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
constexpr int kMaxCalls = 20;
constexpr unsigned kAccepted = 202;
constexpr unsigned kNotFound = 404;
constexpr unsigned kFirstServerError = 500;

net::HttpRequest Request(const char* aMethod, const std::string& aTarget)
{
  net::HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  return request;
}

std::string TargetOf(const std::string& aId)
{
  return absl::StrCat(kJobsTarget, "/", aId);
}

/// Without an id, as the entry assigns it.
std::string SubmissionBody(const TraceJob& aLine)
{
  Json::Value body = ToJson(ToJobSpec(aLine));
  body.removeMember("id");
  return FormatJson(body);
}

} // namespace

void JobReplayer::Submit(const TraceJob& aLine)
{
  net::HttpRequest request = Request("POST", kJobsTarget);
  request.mHeaders.Set("Content-Type", "application/json");
  request.mHeaders.Set(kIdempotencyKeyHeader,
                       absl::StrCat(mContext.mRun, "-", aLine.mId.Value()));
  request.mBody = SubmissionBody(aLine);
  const absl::StatusOr<net::HttpResponse> response = CallWithRetries(request);
  if (response.ok() && response->mStatus == kAccepted) {
    const absl::StatusOr<Json::Value> body = ParseJson(response->mBody);
    if (body.ok() && (*body)["id"].isString()) {
      mTracker.OnAccepted(aLine, (*body)["id"].asString());
      return;
    }
  }
  mTracker.OnRefused(aLine);
}

void JobReplayer::Cancel(const TraceCancel& aLine)
{
  if (const std::string id = mTracker.IdOf(aLine.mJob); !id.empty()) {
    // The job's state shows the result.
    (void)CallWithRetries(Request("DELETE", TargetOf(id)));
  }
}

void JobReplayer::PollOpenJobs()
{
  for (const ReplayedJob& job : mTracker.Open()) {
    Poll(job);
  }
}

void JobReplayer::PollUntilEnded(Instant aUntil)
{
  PollOpenJobs();
  while (!mTracker.Open().empty() && MonotonicNow() < aUntil) {
    boost::this_fiber::sleep_for(kRetryInterval);
    PollOpenJobs();
  }
}

absl::StatusOr<net::HttpResponse> JobReplayer::CallWithRetries(
  const net::HttpRequest& aRequest)
{
  absl::StatusOr<net::HttpResponse> response;
  for (int call = 0; call < kMaxCalls; ++call) {
    if (call > 0) {
      boost::this_fiber::sleep_for(kRetryInterval);
    }
    response =
      mContext.mClient.Call(mContext.NextEntry(), aRequest, kCallTimeout);
    if (response.ok() && response->mStatus < kFirstServerError) {
      return response;
    }
  }
  return response;
}

void JobReplayer::Poll(const ReplayedJob& aJob)
{
  const absl::StatusOr<net::HttpResponse> response = mContext.mClient.Call(
    mContext.NextEntry(), Request("GET", TargetOf(aJob.mId)), kCallTimeout);
  if (!response.ok()) {
    return;
  }
  if (response->mStatus == kNotFound) {
    mTracker.OnUnknown(aJob.mLineId);
    return;
  }
  const absl::StatusOr<Json::Value> body = ParseJson(response->mBody);
  if (!body.ok() || !(*body)["state"].isString()) {
    return;
  }
  const std::optional<JobState> state =
    ParseJobState((*body)["state"].asString());
  if (state) {
    mTracker.OnState(aJob.mLineId,
                     *state,
                     (*body)["reason"].asString(),
                     (*body)["evictions"].asInt64());
  }
}

} // namespace foxtailbarrow::replay
