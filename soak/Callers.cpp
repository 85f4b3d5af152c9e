#include "soak/Callers.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/fiber/operations.hpp>
#include <json/value.h>

#include "foxtailbarrow/Verdict.h"
#include "platform/WireJson.h"
#include "src/core/message/Json.h"

namespace foxtailbarrow::soak {

namespace {

using cell::JobPhase;
using std::chrono::milliseconds;

constexpr Duration kCallTimeout = milliseconds(3000);
constexpr int kMaxAttempts = 4;
constexpr Duration kQueryInterval = milliseconds(700);
constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;
constexpr std::int64_t kPercent = 100;
constexpr int kServingImages = 3;
constexpr int kServingReplicas = 4;
constexpr int kBestEffortImages = 6;
constexpr Duration kBestEffortInterval = milliseconds(800);

constexpr std::array kPhases = { JobPhase::Queued,
                                 JobPhase::Running,
                                 JobPhase::Completed,
                                 JobPhase::Failed,
                                 JobPhase::Cancelled };

std::string ToRequestBody(const cell::JobGraph& aGraph)
{
  Json::Value body;
  body["Spec"] = aGraph.mPayload;
  for (const cell::StepSpec& spec : aGraph.mSteps) {
    Json::Value step;
    step["Replicas"] = spec.mReplicas;
    step["Cpu"] = Json::Int64{ spec.mDemand.mMillicores };
    step["MemMb"] = Json::Int64{ spec.mDemand.mMemoryMb };
    step["EstimateMs"] = Json::Int64{
      std::chrono::duration_cast<milliseconds>(spec.mEstimate).count()
    };
    step["Checkpoint"] = spec.mCheckpoints;
    step["Daemon"] = spec.mStanding;
    if (!spec.mImage.empty()) {
      step["Image"] = spec.mImage;
      step["Fills"] = spec.mBestEffort;
      step["MaxPerServer"] = spec.mMaxPerWorker;
      step["TargetMs"] = Json::Int64{
        std::chrono::duration_cast<milliseconds>(spec.mLatencyTarget).count()
      };
    }
    for (const std::int32_t before : spec.mAfter) {
      step["After"].append(before);
    }
    body["Steps"].append(step);
  }
  return FormatJson(body);
}

JobId RandomId(std::mt19937_64& aRandom)
{
  std::array<char, 17> id{};
  std::snprintf(id.data(),
                id.size(),
                "%016llx",
                static_cast<unsigned long long>(aRandom()));
  return JobId(id.data());
}

cell::JobGraph OneStepJob(const JobId& aId,
                          const standin::TaskProgram& aProgram)
{
  cell::JobGraph graph;
  graph.mId = aId;
  graph.mQueue = cell::QueueId("queue");
  graph.mPayload = standin::FormatTaskProgram(aProgram);
  graph.mSteps.resize(1);
  cell::StepSpec& step = graph.mSteps[0];
  step.mDemand = { 1000, 500, 0 };
  step.mEstimate = aProgram.mWork;
  step.mStanding = aProgram.mRunsUntilStopped;
  return graph;
}

} // namespace

Callers::Callers(net::FiberRuntime& aRuntime,
                 const Fleet& aFleet,
                 PromiseChecker& aChecker,
                 unsigned aSeed,
                 const CallerSettings& aSettings)
  : mRuntime(aRuntime)
  , mFleet(aFleet)
  , mChecker(aChecker)
  , mRandom(aSeed)
  , mServingRandom(~static_cast<std::uint64_t>(aSeed))
  , mSettings(aSettings)
  , mClient(aRuntime)
{
}

std::int64_t Callers::Random(std::int64_t aMin, std::int64_t aMax)
{
  return std::uniform_int_distribution(aMin, aMax)(mRandom);
}

void Callers::Start(unsigned aCount)
{
  for (unsigned i = 0; i < aCount; ++i) {
    mRuntime.Spawn([this] { Run(); });
  }
  if (mSettings.mServing) {
    SubmitServing();
    mRuntime.Spawn([this] { SubmitBestEffort(); });
  }
}

cell::JobGraph Callers::ServingJob(int aImage)
{
  standin::TaskProgram program;
  program.mRunsUntilStopped = true;
  program.mServingImage = aImage;
  cell::JobGraph graph = OneStepJob(RandomId(mServingRandom), program);
  cell::StepSpec& step = graph.mSteps[0];
  step.mReplicas = kServingReplicas;
  step.mMaxPerWorker = 1;
  step.mImage = "serving" + std::to_string(aImage);
  step.mLatencyTarget = milliseconds(standin::kServingTargetMs);
  return graph;
}

cell::JobGraph Callers::BestEffortJob()
{
  standin::TaskProgram program;
  program.mBestEffortImage = std::uniform_int_distribution<int>(
    0, kBestEffortImages - 1)(mServingRandom);
  program.mWork =
    milliseconds(std::uniform_int_distribution<int>(500, 5000)(mServingRandom));
  cell::JobGraph graph = OneStepJob(RandomId(mServingRandom), program);
  cell::StepSpec& step = graph.mSteps[0];
  step.mReplicas = std::uniform_int_distribution<int>(2, 5)(mServingRandom);
  step.mBestEffort = true;
  step.mCheckpoints = true;
  step.mImage = "leftover" + std::to_string(*program.mBestEffortImage);
  return graph;
}

void Callers::SubmitServing()
{
  for (int image = 0; image < kServingImages; ++image) {
    mRuntime.Spawn([this, graph = ServingJob(image)] {
      mChecker.OnSubmitting(graph);
      mChecker.OnSubmitted(graph.mId, Submit(graph));
    });
  }
}

void Callers::SubmitBestEffort()
{
  while (mSubmittingBestEffort) {
    mRuntime.Spawn([this, graph = BestEffortJob()] {
      mChecker.OnSubmitting(graph);
      const SubmitOutcome outcome = Submit(graph);
      mChecker.OnSubmitted(graph.mId, outcome);
      if (outcome != SubmitOutcome::Refused) {
        PollJob(graph.mId, false);
      }
    });
    boost::this_fiber::sleep_for(kBestEffortInterval);
  }
}

/// One task, so that a job crashes one worker at a time.
void Callers::MakeCrashing(cell::JobGraph& aGraph)
{
  standin::TaskProgram program;
  program.mCrashes = true;
  program.mWork = milliseconds(Random(0, 300));
  aGraph.mPayload = standin::FormatTaskProgram(program);
  aGraph.mSteps.resize(1);
  aGraph.mSteps[0].mReplicas = 1;
}

cell::JobGraph Callers::RandomJob()
{
  constexpr std::int64_t kStandingPercent = 4;
  constexpr std::int64_t kFailsPercent = 10;
  cell::JobGraph graph;
  graph.mId = RandomId(mRandom);
  graph.mQueue = cell::QueueId("queue");
  const std::int64_t kind = Random(1, kPercent);
  standin::TaskProgram program;
  program.mRunsUntilStopped = kind <= kStandingPercent;
  program.mFails = !program.mRunsUntilStopped && kind <= kFailsPercent;
  program.mWork = milliseconds(Random(50, 900));
  graph.mPayload = standin::FormatTaskProgram(program);
  const auto steps =
    static_cast<std::int32_t>(program.mRunsUntilStopped ? 1 : Random(1, 3));
  for (std::int32_t i = 0; i < steps; ++i) {
    cell::StepSpec step;
    step.mReplicas = static_cast<std::int32_t>(Random(1, 4));
    step.mDemand = { Random(200, 2000), Random(100, 2000), 0 };
    step.mEstimate = program.mWork;
    step.mCheckpoints = Random(0, 1) == 1;
    step.mStanding = program.mRunsUntilStopped;
    if (i > 0) {
      step.mAfter = { i - 1 };
    }
    graph.mSteps.push_back(step);
  }
  // Only jobs that neither stand nor fail have such a high `kind`.
  if (kind > kPercent - mSettings.mCrashingPercent) {
    MakeCrashing(graph);
  }
  return graph;
}

absl::StatusOr<net::HttpResponse> Callers::Call(const char* aMethod,
                                                const JobId& aJob,
                                                std::string aBody)
{
  net::HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = "/jobs/" + aJob.Value();
  request.mBody = std::move(aBody);
  const auto scheduler =
    static_cast<unsigned>(Random(0, mFleet.Schedulers() - 1));
  return mClient.Call(mFleet.CallerEndpoint(scheduler), request, kCallTimeout);
}

SubmitOutcome Callers::Submit(const cell::JobGraph& aGraph)
{
  SubmitOutcome outcome = SubmitOutcome::Refused;
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto response = Call("POST", aGraph.mId, ToRequestBody(aGraph));
    if (response.ok() && response->mStatus == kOk) {
      return SubmitOutcome::Accepted;
    }
    const bool refused =
      response.ok()
        ? response->mStatus == kTooMany || response->mStatus == kUnavailable
        : VerdictOf(response.status()) == Verdict::NotRun;
    outcome = refused ? outcome : SubmitOutcome::Unknown;
    boost::this_fiber::sleep_for(milliseconds(Random(50, 400)));
  }
  return outcome;
}

void Callers::QueryState(const JobId& aJob)
{
  const auto response = Call("GET", aJob, {});
  if (!response.ok()) {
    return;
  }
  if (response->mStatus == kGone) {
    mChecker.OnUnknownJob(aJob);
    return;
  }
  const auto body = platform::ParseObject(response->mBody);
  std::string state;
  if (response->mStatus != kOk || !body.ok() ||
      !platform::ReadText(*body, "State", kPercent, state)) {
    return;
  }
  const auto phase = std::ranges::find_if(
    kPhases, [&](JobPhase aPhase) { return ToString(aPhase) == state; });
  if (phase != kPhases.end()) {
    mChecker.OnPhaseShown(aJob, *phase);
  }
}

bool Callers::Cancel(const JobId& aJob)
{
  mChecker.OnCancelling(aJob);
  const auto response = Call("DELETE", aJob, {});
  if (response.ok() && response->mStatus == kOk) {
    mChecker.OnCancelled(aJob);
    return true;
  }
  return false;
}

void Callers::PollJob(const JobId& aJob, bool aCancel)
{
  bool cancelled = !aCancel;
  while (mQuerying) {
    boost::this_fiber::sleep_for(kQueryInterval);
    cancelled = cancelled || Cancel(aJob);
    QueryState(aJob);
  }
}

void Callers::Run()
{
  constexpr std::int64_t kCancelPercent = 10;
  while (mSubmitting) {
    const cell::JobGraph graph = RandomJob();
    mChecker.OnSubmitting(graph);
    const SubmitOutcome outcome = Submit(graph);
    mChecker.OnSubmitted(graph.mId, outcome);
    if (outcome != SubmitOutcome::Refused) {
      mRuntime.Spawn(
        [this, id = graph.mId, cancel = Random(1, kPercent) <= kCancelPercent] {
          PollJob(id, cancel);
        });
    }
    boost::this_fiber::sleep_for(milliseconds(Random(100, 900)));
  }
}

} // namespace foxtailbarrow::soak
