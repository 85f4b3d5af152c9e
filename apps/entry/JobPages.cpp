#include "apps/entry/JobPages.h"

#include <string>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

#include "apps/entry/ErrorResponse.h"
#include "apps/entry/JobKeys.h"
#include "apps/entry/JobSubmission.h"
#include "apps/entry/JobViews.h"
#include "foxtailbarrow/MethodNames.h"
#include "foxtailbarrow/RequestHeaders.h"
#include "src/core/job/ShardOf.h"
#include "src/core/message/Codec.h"
#include "src/net/JsonResponse.h"
#include "src/net/TypedRpc.h"

namespace foxtailbarrow::entry {

namespace {

constexpr std::string_view kJobsTarget = "/foxtailbarrow/v1/jobs";
constexpr std::string_view kExplainSuffix = "/explain";
constexpr Duration kPeerTimeout = std::chrono::seconds(2);
constexpr Duration kStoreRetryAfter = std::chrono::seconds(2);

net::HttpResponse BadRequest(std::string_view aMessage)
{
  return ErrorResponse(
    { .mStatus = 400, .mVerdict = Verdict::NotRun, .mMessage = aMessage });
}

net::HttpResponse NoSuchJob()
{
  return ErrorResponse(
    { .mStatus = 404, .mVerdict = Verdict::NotRun, .mMessage = "no such job" });
}

net::HttpResponse StoreUnavailable(Verdict aVerdict)
{
  return ErrorResponse(
    { .mStatus = 503,
      .mVerdict = aVerdict,
      .mReason = Reason::WaitingForStore,
      .mRetryAfter = kStoreRetryAfter,
      .mMessage = "the store rejected the call or did not answer" });
}

/// Value of a parameter of a query "a=1&b=2"; empty when absent.
std::string_view Parameter(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::size_t end = std::min(aQuery.find('&'), aQuery.size());
    const std::string_view pair = aQuery.substr(0, end);
    if (pair.starts_with(aName) && pair.substr(aName.size()).starts_with('=')) {
      return pair.substr(aName.size() + 1);
    }
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
  }
  return {};
}

} // namespace

JobPages::JobPages(ControlContext& aContext,
                   const OwnershipDriver& aOwnership,
                   JobDriver& aJobs,
                   std::uint32_t aShards,
                   HasContract aHasContract)
  : mContext(aContext)
  , mOwnership(aOwnership)
  , mJobs(aJobs)
  , mShards(aShards)
  , mHasContract(std::move(aHasContract))
  , mWriter(aContext.mStore)
  , mNotifier(
      aContext,
      [this](ShardId aShard) { return OwnerOf(aShard); },
      [this](const JobChanged& aChange) { return mJobs.OnJobChanged(aChange); })
{
}

void JobPages::AddMethods(net::RpcDispatcher& aDispatcher)
{
  net::AddTyped<JobChanged>(
    aDispatcher,
    kJobChangedMethod,
    [this](const JobChanged& aChange) -> absl::StatusOr<JobChangedReply> {
      if (mJobs.OnJobChanged(aChange)) {
        return JobChangedReply{};
      }
      return WithVerdict(absl::FailedPreconditionError("not the shard's owner"),
                         Verdict::NotRun);
    });
  aDispatcher.Add(
    kExplainJobMethod,
    [this](const Json::Value& aParams) -> absl::StatusOr<Json::Value> {
      if (!aParams["job"].isString()) {
        return absl::InvalidArgumentError("job: allowed text");
      }
      return ExplainLocally(JobId(aParams["job"].asString()));
    });
  aDispatcher.Add(kListJobsMethod,
                  [this](const Json::Value&) -> absl::StatusOr<Json::Value> {
                    Json::Value result(Json::objectValue);
                    result["jobs"] = ListLocally();
                    return result;
                  });
}

bool JobPages::Serves(std::string_view aTarget)
{
  return aTarget.starts_with(kJobsTarget) &&
         (aTarget.size() == kJobsTarget.size() ||
          aTarget[kJobsTarget.size()] == '/' ||
          aTarget[kJobsTarget.size()] == '?');
}

net::HttpResponse JobPages::Answer(const net::HttpRequest& aRequest)
{
  std::string_view rest =
    std::string_view(aRequest.mTarget).substr(kJobsTarget.size());
  if (rest.empty() && aRequest.mMethod == "POST") {
    return Submit(aRequest);
  }
  if ((rest.empty() || rest[0] == '?') && aRequest.mMethod == "GET") {
    return List(rest.empty() ? rest : rest.substr(1));
  }
  if (rest.starts_with('/')) {
    rest.remove_prefix(1);
    if (rest.ends_with(kExplainSuffix) && aRequest.mMethod == "GET") {
      rest.remove_suffix(kExplainSuffix.size());
      return Explain(JobId(std::string(rest)));
    }
    if (aRequest.mMethod == "GET") {
      return Show(JobId(std::string(rest)));
    }
    if (aRequest.mMethod == "DELETE") {
      return Cancel(JobId(std::string(rest)));
    }
  }
  return ErrorResponse({ .mStatus = 405,
                         .mVerdict = Verdict::NotRun,
                         .mMessage = "allowed: POST and GET of jobs, GET and "
                                     "DELETE of one job, GET of its explain" });
}

net::HttpResponse JobPages::Submit(const net::HttpRequest& aRequest)
{
  const auto key = aRequest.mHeaders.Find(kIdempotencyKeyHeader);
  const std::string unique =
    UniquePart(key.value_or(std::string_view()), mRandom());
  const absl::StatusOr<JobSpec> spec = ParseSubmission(aRequest.mBody, unique);
  if (!spec.ok()) {
    return BadRequest(std::string(spec.status().message()));
  }
  if (!mHasContract(spec->mCustomer)) {
    return ErrorResponse(
      { .mStatus = 403,
        .mVerdict = Verdict::NotRun,
        .mReason = Reason::NoContract,
        .mMessage = "no contract of this customer is in force" });
  }
  const SubmissionResult result = mWriter.Submit(ShardOfJob(spec->mId), *spec);
  if (const auto* failed = std::get_if<SubmissionFailed>(&result)) {
    return StoreUnavailable(failed->mVerdict);
  }
  if (std::holds_alternative<SubmissionConflict>(result)) {
    return ErrorResponse(
      { .mStatus = 409,
        .mVerdict = Verdict::NotRun,
        .mReason = Reason::DuplicateRequest,
        .mMessage = "the idempotency key belongs to another job" });
  }
  NotifyOwner(spec->mId);
  return net::JsonResponse(202, SummaryOf(std::get<Submitted>(result).mRecord));
}

net::HttpResponse JobPages::Show(const JobId& aJob)
{
  const auto entry = mContext.mStore.Read(JobKey(ShardOfJob(aJob), aJob));
  if (absl::IsNotFound(entry.status())) {
    return NoSuchJob();
  }
  const auto record = entry.ok() ? FromJsonText<JobRecord>(entry->mValue)
                                 : absl::StatusOr<JobRecord>(entry.status());
  if (!record.ok()) {
    return StoreUnavailable(Verdict::NotRun);
  }
  return net::JsonResponse(200, SummaryOf(*record));
}

net::HttpResponse JobPages::Explain(const JobId& aJob)
{
  const ShardId shard = ShardOfJob(aJob);
  Json::Value view;
  if (mJobs.Scheduler().Owns(shard)) {
    view = ExplainLocally(aJob);
  } else if (const auto owner = OwnerOf(shard)) {
    Json::Value params(Json::objectValue);
    params["job"] = aJob.Value();
    const auto reply =
      mContext.mRpc.Call(*owner, kExplainJobMethod, params, kPeerTimeout);
    if (!reply.ok()) {
      return StoreUnavailable(Verdict::NotRun);
    }
    view = *reply;
  }
  return view.isNull() || view.empty() ? Show(aJob)
                                       : net::JsonResponse(200, view);
}

net::HttpResponse JobPages::List(std::string_view aQuery)
{
  const std::string customer(Parameter(aQuery, "customer"));
  const std::string state(Parameter(aQuery, "state"));
  Json::Value body(Json::objectValue);
  body["jobs"] = Json::Value(Json::arrayValue);
  body["unreachable"] = Json::Value(Json::arrayValue);
  const auto append = [&](const Json::Value& aJobs) {
    for (const Json::Value& job : aJobs) {
      if ((customer.empty() || job["customer"] == customer) &&
          (state.empty() || job["state"] == state)) {
        body["jobs"].append(job);
      }
    }
  };
  append(ListLocally());
  const auto live = mOwnership.Ownership().Roster().Live();
  const std::vector<LiveEntry> peers(live.begin(), live.end());
  for (const LiveEntry& peer : peers) {
    if (peer.mRecord.mEntry == mContext.mSelf) {
      continue;
    }
    const auto reply = mContext.mRpc.Call(peer.mRecord.mEndpoint,
                                          kListJobsMethod,
                                          Json::Value(Json::objectValue),
                                          kPeerTimeout);
    if (reply.ok()) {
      append((*reply)["jobs"]);
    } else {
      body["unreachable"].append(peer.mRecord.mEntry.Value());
    }
  }
  return net::JsonResponse(200, body);
}

net::HttpResponse JobPages::Cancel(const JobId& aJob)
{
  switch (mWriter.Cancel(ShardOfJob(aJob), aJob)) {
    case CancelResult::Unknown:
      return NoSuchJob();
    case CancelResult::AlreadyFinal:
      return ErrorResponse({ .mStatus = 409,
                             .mVerdict = Verdict::NotRun,
                             .mMessage = "the job has ended" });
    case CancelResult::NotSaved:
      return StoreUnavailable(Verdict::MayHaveRun);
    case CancelResult::Accepted:
      break;
  }
  NotifyOwner(aJob);
  Json::Value body(Json::objectValue);
  body["id"] = aJob.Value();
  body["cancelRequested"] = true;
  return net::JsonResponse(202, body);
}

ShardId JobPages::ShardOfJob(const JobId& aJob) const
{
  return ShardOf(aJob, mShards);
}

void JobPages::NotifyOwner(const JobId& aJob)
{
  mNotifier.Send({ ShardOfJob(aJob), aJob });
}

std::optional<Endpoint> JobPages::OwnerOf(ShardId aShard) const
{
  const LiveEntry* owner = mOwnership.Ownership().OwnerOf(aShard);
  if (owner == nullptr || owner->mRecord.mEntry == mContext.mSelf) {
    return std::nullopt;
  }
  return owner->mRecord.mEndpoint;
}

Json::Value JobPages::ExplainLocally(const JobId& aJob) const
{
  const Json::Value view =
    ExplanationOf(mJobs.Scheduler(), aJob, MonotonicNow());
  return view.isNull() ? Json::Value(Json::objectValue) : view;
}

Json::Value JobPages::ListLocally() const
{
  Json::Value jobs(Json::arrayValue);
  mJobs.Scheduler().Jobs().ForEach([&jobs](const JobEntry& aEntry) {
    jobs.append(SummaryOf(aEntry.Record()));
  });
  return jobs;
}

} // namespace foxtailbarrow::entry
