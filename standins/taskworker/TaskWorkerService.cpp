#include "standins/taskworker/TaskWorkerService.h"

#include <chrono>
#include <iostream>
#include <limits>
#include <optional>
#include <utility>

#include <boost/fiber/operations.hpp>

#include "platform/TaskName.h"
#include "platform/WireJson.h"
#include "src/core/message/Json.h"

namespace foxtailbarrow::standin {

namespace {

using platform::ReadNumber;
using platform::ReadText;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;
constexpr unsigned kMisdirected = 421;
constexpr std::int64_t kAnyNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t kMaxText = 8192;
constexpr Duration kTick = std::chrono::milliseconds(5);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(900);
constexpr Duration kDrainTime = std::chrono::milliseconds(2500);
constexpr Duration kListenRetry = std::chrono::milliseconds(50);
/// Downtime of a worker that was crashed by a task.
constexpr int kMinDownMs = 800;
constexpr int kMaxDownMs = 4500;
/// A silent connection is closed after this; all clients time out earlier.
constexpr Duration kSilenceTimeout = std::chrono::seconds(3);

net::HttpResponse Reply(unsigned aStatus, const Json::Value& aBody)
{
  net::HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = FormatJson(aBody);
  return response;
}

const char* ReasonOf(cell::StartOutcome aOutcome)
{
  switch (aOutcome) {
    case cell::StartOutcome::StaleRun:
      return "old";
    case cell::StartOutcome::NoLease:
      return "late";
    default:
      return "fence";
  }
}

std::optional<cell::TaskRef> TaskOf(const Json::Value& aBody)
{
  std::string name;
  return ReadText(aBody, "Task", kMaxText, name) ? platform::ParseTaskName(name)
                                                 : std::nullopt;
}

std::int64_t NumberOf(const Json::Value& aBody, const char* aName)
{
  std::int64_t number = 0;
  ReadNumber(aBody, aName, kAnyNumber, number);
  return number;
}

std::string TextOf(const Json::Value& aBody, const char* aName)
{
  std::string text;
  ReadText(aBody, aName, kMaxText, text);
  return text;
}

Json::Value ViewBody(const cell::PollReply& aView)
{
  Json::Value body;
  body["ClockMs"] = Json::Int64{ aView.mClock };
  body["Running"] = Json::arrayValue;
  body["Ended"] = Json::arrayValue;
  for (const cell::RunningTask& running : aView.mRunning) {
    Json::Value row(Json::arrayValue);
    row.append(platform::FormatTaskName(running.mTask));
    row.append(Json::Int64{ running.mRun });
    row.append(running.mCheckpoint);
    row.append(running.mPercent);
    row.append(Json::Int64{ running.mFigure });
    body["Running"].append(row);
  }
  for (const cell::EndedTask& ended : aView.mEnded) {
    Json::Value row(Json::arrayValue);
    row.append(Json::Int64{ ended.mNumber });
    row.append(platform::FormatTaskName(ended.mTask));
    row.append(Json::Int64{ ended.mRun });
    row.append(std::string(ToString(ended.mEnd)));
    row.append(ended.mCheckpoint);
    body["Ended"].append(row);
  }
  return body;
}

/// Unix time in ms by a clock that may step; another one than that of the
/// incarnation before.
std::int64_t NextStart(Duration aClockStep, std::int64_t aBefore)
{
  const auto now =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch() + aClockStep)
      .count();
  return now == aBefore ? now + 1 : now;
}

} // namespace

TaskWorkerService::TaskWorkerService(net::FiberRuntime& aRuntime,
                                     Registration aRegistration,
                                     TaskWorkerSettings aSettings,
                                     unsigned aSeed,
                                     RunEventSink aSink)
  : mRuntime(aRuntime)
  , mRegistration(std::move(aRegistration))
  , mSettings(aSettings)
  , mCapacity(aSettings.mCapacity)
  , mRandom(aSeed)
  , mSink(std::move(aSink))
  , mClient(aRuntime)
{
}

absl::StatusOr<std::unique_ptr<TaskWorkerService>> TaskWorkerService::Start(
  net::FiberRuntime& aRuntime,
  Registration aRegistration,
  TaskWorkerSettings aSettings,
  unsigned aSeed,
  RunEventSink aSink)
{
  std::unique_ptr<TaskWorkerService> service(new TaskWorkerService(
    aRuntime, std::move(aRegistration), aSettings, aSeed, std::move(aSink)));
  if (absl::Status status = service->Listen(); !status.ok()) {
    return status;
  }
  service->Restart(RestartId::New);
  aRuntime.Spawn([worker = service.get()] { worker->RunHeartbeats(); });
  aRuntime.Spawn([worker = service.get()] { worker->Tick(); });
  return service;
}

absl::Status TaskWorkerService::Listen()
{
  auto server = net::HttpServer::Start(
    mRuntime,
    mRegistration.mListen,
    [this, incarnation = mIncarnations + 1](net::HttpRequest& aRequest) {
      return Handle(aRequest, incarnation);
    });
  if (!server.ok()) {
    return server.status();
  }
  mServer = *std::move(server);
  return absl::OkStatus();
}

void TaskWorkerService::SetFaults(const TaskWorkerFaults& aFaults)
{
  mFaults = aFaults;
  mModel->FailAll(aFaults.mFailAll);
}

void TaskWorkerService::Crash()
{
  mUp = false;
  mModel->Crash();
  if (mIncarnations % 2 == 0) {
    CloseServer();
  }
}

void TaskWorkerService::CloseServer()
{
  if (mServer != nullptr) {
    mServer->Drain();
    mClosedServer = std::move(mServer);
  }
}

void TaskWorkerService::Restart(RestartId aId)
{
  // A second incarnation would replace the first one's model without ending its
  // runs.
  if (std::exchange(mRestarting, true)) {
    return;
  }
  if (mIncarnations > 0) {
    CloseServer();
  }
  while (mServer == nullptr) {
    if (const absl::Status status = Listen(); !status.ok()) {
      std::cerr << mRegistration.mName << ": " << status << std::endl;
      boost::this_fiber::sleep_for(kListenRetry);
    }
  }
  mIncarnation = mRegistration.mName + "-" + std::to_string(++mIncarnations);
  if (aId == RestartId::New) {
    mId = mIncarnation;
  }
  mStartedUnixMs = NextStart(mClockStep, mStartedUnixMs);
  mModel = std::make_shared<TaskWorkerModel>(
    mSettings,
    MonotonicNow(),
    [this, incarnation = mIncarnation](RunEvent aEvent) {
      aEvent.mLate = mExecutesLate;
      mSink(incarnation, aEvent);
    });
  mModel->FailAll(mFaults.mFailAll);
  mSequence = 0;
  mDraining = false;
  mUp = true;
  mRestarting = false;
}

void TaskWorkerService::Leave()
{
  const int incarnation = mIncarnations;
  mDraining = true;
  boost::this_fiber::sleep_for(kDrainTime);
  if (incarnation != mIncarnations || !mUp) {
    return;
  }
  net::HttpRequest request;
  request.mMethod = "DELETE";
  request.mTarget = "/runners/" + mId;
  (void)mClient.Call(mRegistration.mAgent, request, kHeartbeatTimeout);
  if (incarnation == mIncarnations) {
    Crash();
  }
}

void TaskWorkerService::Tick()
{
  for (;;) {
    boost::this_fiber::sleep_for(kTick);
    if (!mUp) {
      continue;
    }
    mModel->Advance(MonotonicNow());
    if (mModel->CrashDue(MonotonicNow())) {
      mRuntime.Spawn([this] { CrashAndRestart(); });
      mUp = false;
    }
  }
}

/// Crashes the worker on behalf of a task and restarts it after the downtime.
void TaskWorkerService::CrashAndRestart()
{
  Crash();
  const int incarnation = mIncarnations;
  boost::this_fiber::sleep_for(std::chrono::milliseconds(
    std::uniform_int_distribution<int>(kMinDownMs, kMaxDownMs)(mRandom)));
  if (incarnation == mIncarnations) {
    Restart(mCrashRestartId);
  }
}

void TaskWorkerService::RunHeartbeats()
{
  for (;;) {
    if (mUp) {
      SendHeartbeat();
    }
    boost::this_fiber::sleep_for(kHeartbeatInterval);
  }
}

void TaskWorkerService::SendHeartbeat()
{
  HeartbeatEvent heartbeat{
    mIncarnation, ++mSequence, mCapacity, mRegistration.mFailureDomain
  };
  Json::Value body;
  body["Service"] = mRegistration.mService;
  body["Addr"] = ToString(mRegistration.mListen);
  body["Zone"] = mRegistration.mFailureDomain;
  body["State"] = mDraining ? "draining" : "ready";
  body["DrainLeftMs"] = 1000;
  body["born"] = Json::Int64{ mStartedUnixMs };
  body["CallSeq"] = Json::Int64{ mSequence };
  body["Capacity"]["Cpu"] = Json::Int64{ mCapacity.mMillicores };
  body["Capacity"]["MemMb"] = Json::Int64{ mCapacity.mMemoryMb };
  body["Labels"].append("a");
  body["Labels"].append(mRegistration.mRack);
  net::HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget = "/runners/" + mId;
  request.mBody = FormatJson(body);
  mHeartbeatSink(heartbeat);
  const auto reply =
    mClient.Call(mRegistration.mAgent, request, kHeartbeatTimeout);
  heartbeat.mAnswered = reply.ok() && reply->mStatus < kBadRequest;
  if (heartbeat.mAnswered) {
    mHeartbeatSink(heartbeat);
  }
}

net::HttpResponse TaskWorkerService::LeaveUnanswered(int aIncarnation)
{
  const Instant end = MonotonicNow() + kSilenceTimeout;
  while (mServer != nullptr && aIncarnation == mIncarnations &&
         MonotonicNow() < end) {
    boost::this_fiber::sleep_for(kTick);
  }
  net::HttpResponse response;
  response.mStatus = net::kCloseWithoutAnswer;
  return response;
}

/// `aIncarnation`: the one that accepted the connection, which ends with it.
net::HttpResponse TaskWorkerService::Handle(const net::HttpRequest& aRequest,
                                            int aIncarnation)
{
  if (aIncarnation != mIncarnations || !mUp || mFaults.mMute) {
    return LeaveUnanswered(aIncarnation);
  }
  const bool executeLate =
    std::uniform_real_distribution<double>(0, 1)(mRandom) < mFaults.mLateShare;
  if (!executeLate) {
    return Execute(aRequest);
  }
  mRuntime.Spawn([this, aRequest, by = mFaults.mLateBy] {
    boost::this_fiber::sleep_for(by);
    if (mUp) {
      mExecutesLate = true;
      Execute(aRequest);
      mExecutesLate = false;
    }
  });
  return LeaveUnanswered(aIncarnation);
}

net::HttpResponse TaskWorkerService::Execute(const net::HttpRequest& aRequest)
{
  const auto expected = aRequest.mHeaders.Find("Expect-Instance");
  if (expected && *expected != mId) {
    return Reply(kMisdirected, Json::objectValue);
  }
  const auto body = platform::ParseObject(aRequest.mBody);
  if (!body.ok()) {
    return Reply(kBadRequest, Json::objectValue);
  }
  if (aRequest.mTarget == "/hold") {
    return Poll(*body);
  }
  const auto task = TaskOf(*body);
  if (!task) {
    return Reply(kBadRequest, Json::objectValue);
  }
  const Instant now = MonotonicNow();
  const cell::RunNumber run = NumberOf(*body, "Run");
  const cell::Fence fence = NumberOf(*body, "Fence");
  bool done = false;
  const char* reason = "fence";
  if (aRequest.mTarget == "/run-start") {
    const auto outcome = mModel->Start({ *task,
                                         run,
                                         TextOf(*body, "Spec"),
                                         TextOf(*body, "CheckpointId"),
                                         TextOf(*body, "Ticket"),
                                         NumberOf(*body, "DeadlineMs"),
                                         fence },
                                       now);
    done = outcome == cell::StartOutcome::Started;
    reason = ReasonOf(outcome);
  } else if (aRequest.mTarget == "/run-stop") {
    done = mModel->Stop({ *task, run, fence }, now);
  } else {
    done =
      mModel->Throttle({ *task,
                         run,
                         static_cast<std::int32_t>(NumberOf(*body, "Percent")),
                         fence },
                       now);
  }
  Json::Value reply;
  reply["ClockMs"] = Json::Int64{ mModel->Clock(now) };
  if (!done) {
    reply["Reason"] = reason;
  }
  return Reply(done ? kOk : kConflict, reply);
}

net::HttpResponse TaskWorkerService::Poll(const Json::Value& aBody)
{
  const std::shared_ptr<TaskWorkerModel> model = mModel;
  const int incarnation = mIncarnations;
  cell::PollCall call;
  call.mFence = NumberOf(aBody, "Fence");
  call.mAcknowledged = NumberOf(aBody, "Acked");
  if (aBody.isMember("DeadlineMs")) {
    call.mLeaseEnd = NumberOf(aBody, "DeadlineMs");
  }
  if (!model->Poll(call, MonotonicNow())) {
    Json::Value reply;
    reply["ClockMs"] = Json::Int64{ model->Clock(MonotonicNow()) };
    reply["Reason"] = "fence";
    return Reply(kConflict, reply);
  }
  const Instant end =
    MonotonicNow() + std::chrono::milliseconds(NumberOf(aBody, "WaitMs"));
  const std::int64_t newest = model->NewestEnd();
  while (MonotonicNow() < end && model->NewestEnd() == newest &&
         model->View(MonotonicNow()).mEnded.empty() && mUp) {
    boost::this_fiber::sleep_for(kTick);
  }
  if (!mUp || model != mModel) {
    return LeaveUnanswered(incarnation);
  }
  model->Advance(MonotonicNow());
  Json::Value view = ViewBody(model->View(MonotonicNow()));
  view["born"] = Json::Int64{ mStartedUnixMs };
  return Reply(kOk, view);
}

} // namespace foxtailbarrow::standin
