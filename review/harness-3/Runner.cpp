#include "Runner.h"

#include <algorithm>
#include <chrono>
#include <set>

#include "Text.h"

namespace review {

namespace {

constexpr long long kHoldMaxMs = 6000;
constexpr long long kStopMs = 200;
constexpr long long kGangMs = 3000;
constexpr long long kStartupMs = 20;
constexpr auto kHeartbeat = std::chrono::milliseconds(1100);
constexpr auto kTick = std::chrono::milliseconds(5);
constexpr std::size_t kEndsAtATime = 500;

/// ID.K.STEP of a task's name.
std::string StepOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

} // namespace

Pool::Pool(Record& aRecord, Planner aPlanner)
  : mRecord(aRecord)
  , mPlanner(std::move(aPlanner))
  , mTicker([this] {
    for (;;) {
      std::this_thread::sleep_for(kTick);
      const std::lock_guard lock(mMutex);
      Tick();
    }
  })
{
}

std::vector<RunEvent> Pool::Events()
{
  const std::lock_guard lock(mMutex);
  return mEvents;
}

std::size_t Pool::Running()
{
  const std::lock_guard lock(mMutex);
  std::size_t count = 0;
  for (const Runner* runner : mRunners) {
    count += runner->mRuns.size();
  }
  return count;
}

std::size_t Pool::Done()
{
  const std::lock_guard lock(mMutex);
  std::set<std::string> done;
  for (const RunEvent& event : mEvents) {
    if (event.mKind == RunEvent::Kind::Ended && event.mHow == "done") {
      done.insert(event.mTask);
    }
  }
  return done.size();
}

Runner* Pool::LastStarter()
{
  const std::lock_guard lock(mMutex);
  return mLastStarter;
}

void Pool::Add(RunEvent aEvent)
{
  aEvent.mAtMs = NowMs();
  const char* const kinds[] = {
    "starts", "ends", "is lost", "acked", "lease lapses"
  };
  mRecord.Add("runner " + aEvent.mRunner + ": " + aEvent.mTask + " run " +
              std::to_string(aEvent.mRun) + " " +
              kinds[static_cast<int>(aEvent.mKind)] + " " + aEvent.mHow);
  mEvents.push_back(std::move(aEvent));
}

/// Gangs begin to work when all members are present, and end together.
void Pool::Tick()
{
  const long long now = NowMs();
  struct Member
  {
    Runner* mRunner = nullptr;
    std::string mTask;
  };
  std::map<std::pair<std::string, long long>, std::vector<Member>> gangs;
  for (Runner* runner : mRunners) {
    for (const auto& [task, run] : runner->mRuns) {
      if (run.mPlan.mGangSize > 0) {
        gangs[{ StepOf(task), run.mNumber }].push_back({ runner, task });
      }
    }
  }
  for (const auto& [gang, members] : gangs) {
    Runner::Run& first =
      members.front().mRunner->mRuns.at(members.front().mTask);
    const bool whole =
      static_cast<int>(members.size()) == first.mPlan.mGangSize;
    const bool atWork = first.mWorksSinceMs >= 0;
    if (whole && !atWork) {
      for (const Member& member : members) {
        member.mRunner->mRuns.at(member.mTask).mWorksSinceMs = now;
      }
    } else if (!whole && atWork) {
      for (const Member& member : members) {
        member.mRunner->Finish(member.mTask, "broken");
      }
    } else if (atWork && now - first.mWorksSinceMs >= first.mPlan.mWorkMs) {
      for (const Member& member : members) {
        member.mRunner->Finish(member.mTask,
                               first.mPlan.mFails ? "failed" : "done");
      }
    }
  }
  for (Runner* runner : mRunners) {
    runner->Tick();
  }
}

Runner::Runner(Pool& aPool, Settings aSettings)
  : mPool(aPool)
  , mSettings(std::move(aSettings))
{
  {
    const std::lock_guard lock(mPool.mMutex);
    mPool.mRunners.push_back(this);
  }
  Start();
  mBeats = std::thread([this] { Beat(); });
}

bool Runner::Up()
{
  const std::lock_guard lock(mPool.mMutex);
  return mUp;
}

void Runner::Start()
{
  const std::lock_guard lock(mPool.mMutex);
  ++mIncarnation;
  mId = "i-" + mSettings.mName + "-" + std::to_string(mIncarnation);
  mBornMs = NowMs();
  mSequence = 0;
  mFence = 0;
  mDeadline = 0;
  mLapsed = true;
  mRuns.clear();
  mHighestEnded.clear();
  mEnds.clear();
  mEndCount = 0;
  mUp = true;
  mLeavesAtMs = -1;
  mServer = std::make_unique<HttpServer>(
    mSettings.mListen,
    [this](const Request& aRequest) { return Handle(aRequest); });
  mPool.mRecord.Add("runner " + mSettings.mName + ": up as " + mId);
}

void Runner::Crash()
{
  {
    const std::lock_guard lock(mPool.mMutex);
    mUp = false;
    mPool.mRecord.Add("runner " + mSettings.mName + ": crashes");
    for (const auto& [task, run] : mRuns) {
      mPool.Add(
        { 0, RunEvent::Kind::Lost, mSettings.mName, task, run.mNumber, {} });
    }
    mRuns.clear();
    mPool.mEnd.notify_all();
  }
  mServer->Stop();
}

void Runner::Drain(long long aLeftMs)
{
  const std::lock_guard lock(mPool.mMutex);
  mLeavesAtMs = NowMs() + aLeftMs;
  mPool.mRecord.Add("runner " + mSettings.mName + ": drains, " +
                    std::to_string(aLeftMs) + " ms are left");
}

void Runner::Beat()
{
  for (;;) {
    Json::Value body;
    std::string id;
    {
      const std::lock_guard lock(mPool.mMutex);
      if (mUp) {
        id = mId;
        body["Service"] = mSettings.mService;
        body["Addr"] = mSettings.mListen.Text();
        body["Zone"] = mSettings.mZone;
        body["Version"] = "v1";
        body["Slots"] = 8;
        body["State"] = mLeavesAtMs < 0 ? "ready" : "draining";
        if (mLeavesAtMs >= 0) {
          body["DrainLeftMs"] =
            Json::Int64{ std::max(0LL, mLeavesAtMs - NowMs()) };
        }
        body["ColdLeftMs"] = 0;
        body["Capacity"]["Cpu"] = Json::Int64{ mSettings.mCpu };
        body["Capacity"]["MemMb"] = Json::Int64{ mSettings.mMemMb };
        body["Capacity"]["Gpu"] = 0;
        body["Labels"].append("a");
        body["Labels"].append(mSettings.mRack);
        body["ClockMs"] = Json::Int64{ ClockMs() };
        body["CallSeq"] = Json::Int64{ ++mSequence };
      }
    }
    if (!id.empty()) {
      (void)Call(mSettings.mListen.mIp,
                 mSettings.mControl,
                 "PUT",
                 "/runners/" + id,
                 {},
                 FormatJson(body),
                 1000);
    }
    std::this_thread::sleep_for(kHeartbeat);
  }
}

Response Runner::Reply(int aStatus, const char* aReason) const
{
  Json::Value body;
  body["ClockMs"] = Json::Int64{ ClockMs() };
  if (aReason != nullptr) {
    body["Reason"] = aReason;
  }
  return { aStatus, FormatJson(body), {} };
}

bool Runner::TakeFence(const Json::Value& aBody)
{
  const long long fence = aBody["Fence"].asInt64();
  mFence = std::max(mFence, fence);
  return fence == mFence;
}

void Runner::TakeDeadline(const Json::Value& aBody)
{
  if (aBody.isMember("DeadlineMs")) {
    mDeadline = std::max(mDeadline,
                         std::min<long long>(aBody["DeadlineMs"].asInt64(),
                                             ClockMs() + kHoldMaxMs));
  }
}

Response Runner::Handle(const Request& aRequest)
{
  const Json::Value body = ParseJson(aRequest.mBody);
  std::unique_lock lock(mPool.mMutex);
  if (!mUp) {
    return {};
  }
  if (const auto expected = aRequest.mHeaders.find("expect-instance");
      expected != aRequest.mHeaders.end() && expected->second != mId) {
    return Reply(421);
  }
  if (!body.isObject()) {
    return Reply(400);
  }
  if (!TakeFence(body)) {
    return Reply(409, "fence");
  }
  if (aRequest.mTarget == "/hold") {
    return Hold(body, lock);
  }
  if (aRequest.mTarget == "/run-start") {
    return StartRun(body);
  }
  if (aRequest.mTarget == "/run-stop") {
    return StopRun(body);
  }
  return Reply(aRequest.mTarget == "/pace" ? 200 : 404);
}

Json::Value Runner::Lists() const
{
  Json::Value body;
  body["ClockMs"] = Json::Int64{ ClockMs() };
  body["Running"] = Json::arrayValue;
  body["Ended"] = Json::arrayValue;
  const long long now = NowMs();
  for (const auto& [task, run] : mRuns) {
    const long long worked =
      run.mWorksSinceMs < 0 ? 0 : std::max(0LL, now - run.mWorksSinceMs);
    Json::Value row;
    row.append(task);
    row.append(Json::Int64{ run.mNumber });
    row.append("");
    row.append(Json::Int64{
      run.mPlan.mLasts
        ? (worked > 0 ? 100 : 0)
        : std::min(99LL, 100 * worked / std::max(1LL, run.mPlan.mWorkMs)) });
    row.append(0);
    body["Running"].append(row);
  }
  for (const End& end : mEnds) {
    if (body["Ended"].size() == kEndsAtATime) {
      break;
    }
    Json::Value row;
    row.append(Json::Int64{ end.mNumber });
    row.append(end.mTask);
    row.append(Json::Int64{ end.mRun });
    row.append(end.mHow);
    row.append("");
    body["Ended"].append(row);
  }
  return body;
}

Response Runner::Hold(const Json::Value& aBody,
                      std::unique_lock<std::mutex>& aLock)
{
  TakeDeadline(aBody);
  const long long acked = aBody["Acked"].asInt64();
  std::erase_if(mEnds, [&](const End& aEnd) {
    if (aEnd.mNumber > acked) {
      return false;
    }
    mPool.Add({ 0,
                RunEvent::Kind::Acked,
                mSettings.mName,
                aEnd.mTask,
                aEnd.mRun,
                aEnd.mHow });
    return true;
  });
  const long long until =
    NowMs() + std::min<long long>(2000, aBody["WaitMs"].asInt64());
  const int incarnation = mIncarnation;
  while (mUp && incarnation == mIncarnation && mEnds.empty() &&
         NowMs() < until) {
    mPool.mEnd.wait_for(aLock, std::chrono::milliseconds(20));
  }
  if (!mUp || incarnation != mIncarnation) {
    return {};
  }
  return { 200, FormatJson(Lists()), {} };
}

Response Runner::StartRun(const Json::Value& aBody)
{
  const std::string task = aBody["Task"].asString();
  const long long number = aBody["Run"].asInt64();
  if (aBody["DeadlineMs"].asInt64() <= ClockMs()) {
    return Reply(409, "late");
  }
  TakeDeadline(aBody);
  const auto found = mRuns.find(task);
  if (found != mRuns.end()) {
    return found->second.mNumber == number ? Reply(200) : Reply(409, "old");
  }
  if (const auto ended = mHighestEnded.find(task);
      ended != mHighestEnded.end() && number <= ended->second) {
    return Reply(409, "old");
  }
  Run run;
  run.mNumber = number;
  run.mPlan = mPool.mPlanner(task);
  run.mStartedMs = NowMs();
  mRuns[task] = run;
  mPool.mLastStarter = this;
  mPool.Add({ 0, RunEvent::Kind::Started, mSettings.mName, task, number, {} });
  return Reply(200);
}

Response Runner::StopRun(const Json::Value& aBody)
{
  const std::string task = aBody["Task"].asString();
  const long long number = aBody["Run"].asInt64();
  const auto found = mRuns.find(task);
  if (found != mRuns.end() && found->second.mNumber == number) {
    if (found->second.mStopAtMs < 0) {
      found->second.mStopAtMs = NowMs() + kStopMs / 2;
    }
  } else {
    mHighestEnded[task] = std::max(mHighestEnded[task], number);
  }
  return Reply(200);
}

void Runner::Finish(const std::string& aTask, const std::string& aHow)
{
  const auto found = mRuns.find(aTask);
  const long long number = found->second.mNumber;
  mEnds.push_back({ ++mEndCount, aTask, number, aHow });
  mHighestEnded[aTask] = std::max(mHighestEnded[aTask], number);
  mRuns.erase(found);
  mPool.Add({ 0, RunEvent::Kind::Ended, mSettings.mName, aTask, number, aHow });
  mPool.mEnd.notify_all();
}

void Runner::Tick()
{
  const long long now = NowMs();
  const bool lapsed = ClockMs() >= mDeadline;
  if (lapsed && !mLapsed) {
    mPool.Add({ 0, RunEvent::Kind::Lapsed, mSettings.mName, "all", 0, {} });
  }
  mLapsed = lapsed;
  const auto runs = mRuns;
  for (const auto& [task, before] : runs) {
    Run& run = mRuns.at(task);
    const bool gang = run.mPlan.mGangSize > 0;
    if (!gang && run.mWorksSinceMs < 0 && now - run.mStartedMs >= kStartupMs) {
      run.mWorksSinceMs = now;
    }
    const bool atWork = run.mWorksSinceMs >= 0;
    if (lapsed) {
      Finish(task, "lapsed");
    } else if (run.mStopAtMs >= 0 && now >= run.mStopAtMs) {
      Finish(task, "stopped");
    } else if (gang && !atWork && now - run.mStartedMs >= kGangMs) {
      Finish(task, "alone");
    } else if (!gang && atWork && !run.mPlan.mLasts &&
               now - run.mWorksSinceMs >= run.mPlan.mWorkMs) {
      Finish(task, run.mPlan.mFails ? "failed" : "done");
    }
  }
}

} // namespace review
