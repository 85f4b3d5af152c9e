#include "Runner.h"

#include <algorithm>

#include "Store.h"

namespace review {

namespace {

constexpr std::int64_t kFirstClockMs = 100'000;
constexpr std::int64_t kHoldMaxMs = 6000;
constexpr std::int64_t kStopMs = 100; ///< StopMs is 200.
constexpr std::chrono::milliseconds kHeartbeat(1100);
constexpr std::int64_t kGangMs = 3000;
constexpr int kAckTimeoutMs = 1000;
/// A list of ends has at most so many; the others follow once these are
/// acknowledged.
constexpr unsigned kEndsAtATime = 500;

/// The number after a word of the Spec; 0 without the word.
std::int64_t NumberIn(const std::string& aSpec, const std::string& aWord)
{
  const auto at = aSpec.find(aWord);
  return at == std::string::npos
           ? 0
           : std::atoll(aSpec.c_str() + at + aWord.size());
}

} // namespace

void RunLog::Add(const std::string& aRunner,
                 const std::string& aTask,
                 std::int64_t aRun,
                 const std::string& aWhat)
{
  const std::lock_guard lock(mMutex);
  mRecord.Write("runner " + aRunner + ": " + aWhat + " " + aTask + " run " +
                std::to_string(aRun));
  mEvents.push_back({ mRecord.Now(), aRunner, aTask, aRun, aWhat });
}

std::vector<RunEvent> RunLog::Of(const std::string& aJob) const
{
  const std::lock_guard lock(mMutex);
  std::vector<RunEvent> events;
  std::ranges::copy_if(
    mEvents, std::back_inserter(events), [&](const RunEvent& aEvent) {
      return aJob.empty() || aEvent.mTask.starts_with(aJob + ".");
    });
  return events;
}

bool RunLog::Running(const std::string& aJob) const
{
  std::int64_t open = 0;
  for (const RunEvent& event : Of(aJob)) {
    open += event.mWhat == "start" ? 1 : -1;
  }
  return open > 0;
}

Runner::Runner(RunnerSettings aSettings, RunLog& aLog, Record& aRecord)
  : mSettings(std::move(aSettings))
  , mLog(aLog)
  , mRecord(aRecord)
{
  mServer = std::make_unique<HttpServer>(
    mSettings.mPort,
    [this](const Request& aRequest) { return Handle(aRequest); });
  mTicks = std::thread([this] {
    std::unique_lock lock(mMutex);
    while (!mStopping) {
      Advance();
      lock.unlock();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      lock.lock();
    }
  });
  mBeats = std::thread([this] { Beat(); });
}

Runner::~Runner()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    for (const auto& [task, run] : mRuns) {
      mLog.Add(mSettings.mId, task, run.mNumber, "lost");
      if (!run.mGang.empty()) {
        mLog.AllGangs().Break(run.mGang);
      }
    }
    mRuns.clear();
    mChanged.notify_all();
  }
  mTicks.join();
  mBeats.join();
  mServer.reset();
}

std::int64_t Runner::ClockMs() const
{
  return kFirstClockMs + std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::steady_clock::now() - mCreatedAt)
                           .count();
}

void Runner::Beat()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    Json::Value body;
    body["Service"] = mSettings.mService;
    body["Addr"] = "127.0.0.1:" + std::to_string(mSettings.mPort);
    body["Zone"] = mSettings.mZone;
    body["Version"] = "v1";
    body["Slots"] = 8;
    body["State"] = "ready";
    body["ColdLeftMs"] = 0;
    body["Capacity"]["Cpu"] = Json::Int64{ mSettings.mCpu };
    body["Capacity"]["MemMb"] = Json::Int64{ mSettings.mMemMb };
    body["Capacity"]["Gpu"] = 0;
    body["Labels"].append(mSettings.mKind);
    body["Labels"].append(mSettings.mRack);
    body["ClockMs"] = Json::Int64{ ClockMs() };
    body["CallSeq"] = Json::Int64{ ++mSequence };
    const std::int64_t sequence = mSequence;
    lock.unlock();
    const auto response = Call(mSettings.mControl,
                               "PUT",
                               "/runners/" + mSettings.mId,
                               "runner",
                               ToText(body),
                               kAckTimeoutMs);
    mRecord.Write("runner " + mSettings.mId + ": heartbeat " +
                  std::to_string(sequence) + " " + body["State"].asString() +
                  " -> " +
                  (response ? std::to_string(response->mStatus) : "no answer"));
    lock.lock();
    mChanged.wait_for(lock, kHeartbeat, [this] { return mStopping; });
  }
}

Response Runner::Handle(const Request& aRequest)
{
  const auto expected = aRequest.mHeaders.find("expect-instance");
  if (expected != aRequest.mHeaders.end() &&
      expected->second != mSettings.mId) {
    return { 421 };
  }
  const Json::Value call = FromText(aRequest.mBody);
  std::unique_lock lock(mMutex);
  if (mStopping) {
    return { 200, "", true }; // It has crashed.
  }
  Advance();
  if (call["Fence"].asInt64() < mFence) {
    return Refuse("fence");
  }
  mFence = call["Fence"].asInt64();
  const std::string path = aRequest.Path();
  if (path == "/hold") {
    return Hold(call, lock);
  }
  if (path == "/run-start") {
    return Start(call);
  }
  const auto run = mRuns.find(call["Task"].asString());
  const bool there =
    run != mRuns.end() && run->second.mNumber == call["Run"].asInt64();
  if (path == "/run-stop") {
    std::int64_t& highest = mHighest[call["Task"].asString()];
    highest = std::max<std::int64_t>(highest, call["Run"].asInt64());
    if (there && !run->second.mStopAt) {
      run->second.mStopAt = ClockMs() + kStopMs;
    }
  } else if (path == "/pace" && there) {
    run->second.mPercent = call["Percent"].asInt64();
  }
  Json::Value reply;
  reply["ClockMs"] = Json::Int64{ ClockMs() };
  return { 200, ToText(reply) };
}

Response Runner::Refuse(const char* aReason) const
{
  Json::Value reply;
  reply["ClockMs"] = Json::Int64{ ClockMs() };
  reply["Reason"] = aReason;
  return { 409, ToText(reply) };
}

void Runner::Extend(const Json::Value& aCall)
{
  if (aCall.isMember("DeadlineMs")) {
    mLeaseEnd =
      std::max(mLeaseEnd,
               std::min(aCall["DeadlineMs"].asInt64(), ClockMs() + kHoldMaxMs));
  }
}

Response Runner::Start(const Json::Value& aCall)
{
  const std::string task = aCall["Task"].asString();
  const std::int64_t number = aCall["Run"].asInt64();
  const auto found = mRuns.find(task);
  Json::Value reply;
  reply["ClockMs"] = Json::Int64{ ClockMs() };
  if (found != mRuns.end() && found->second.mNumber == number) {
    return { 200, ToText(reply) };
  }
  if (aCall["DeadlineMs"].asInt64() <= ClockMs()) {
    return Refuse("late");
  }
  Extend(aCall);
  if (number <= mHighest[task] || found != mRuns.end()) {
    return Refuse("old");
  }
  Run run;
  run.mNumber = number;
  run.mWorkMs = NumberIn(aCall["Spec"].asString(), "ms=");
  run.mStartedAt = ClockMs();
  if (const auto size = NumberIn(aCall["Spec"].asString(), "gang="); size > 0) {
    run.mGang = task.substr(0, task.rfind('.')) + "#" + std::to_string(number);
    mLog.AllGangs().Join(
      run.mGang, task, static_cast<std::size_t>(size), mRecord.Now());
  }
  mRuns[task] = run;
  mLog.Add(mSettings.mId, task, number, "start");
  return { 200, ToText(reply) };
}

Response Runner::Hold(const Json::Value& aCall,
                      std::unique_lock<std::mutex>& aLock)
{
  Extend(aCall);
  const std::int64_t acked = aCall["Acked"].asInt64();
  std::erase_if(mEnds,
                [acked](const End& aEnd) { return aEnd.mNumber <= acked; });
  const std::int64_t wait =
    std::min<std::int64_t>(aCall["WaitMs"].asInt64(), 2000);
  mChanged.wait_for(aLock, std::chrono::milliseconds(wait), [this] {
    return mStopping || !mEnds.empty();
  });
  if (mStopping) {
    return { 200, "", true };
  }
  Json::Value reply;
  reply["ClockMs"] = Json::Int64{ ClockMs() };
  reply["Running"] = Json::Value(Json::arrayValue);
  reply["Ended"] = Json::Value(Json::arrayValue);
  for (const auto& [task, run] : mRuns) {
    Json::Value row;
    row.append(task);
    row.append(Json::Int64{ run.mNumber });
    row.append("");
    row.append(Json::Int64{
      run.mWorkMs == 0
        ? 100
        : std::min<std::int64_t>(
            99, 100 * (ClockMs() - run.mStartedAt) / run.mWorkMs) });
    row.append(1000);
    reply["Running"].append(row);
  }
  for (const End& end : mEnds) {
    if (reply["Ended"].size() == kEndsAtATime) {
      break;
    }
    Json::Value row;
    row.append(Json::Int64{ end.mNumber });
    row.append(end.mTask);
    row.append(Json::Int64{ end.mRun });
    row.append(end.mHow);
    row.append("");
    reply["Ended"].append(row);
  }
  return { 200, ToText(reply) };
}

void Runner::Finish(const std::string& aTask, const std::string& aHow)
{
  const std::int64_t number = mRuns.at(aTask).mNumber;
  if (const std::string gang = mRuns.at(aTask).mGang;
      !gang.empty() && aHow != "done") {
    mLog.AllGangs().Break(gang);
  }
  mRuns.erase(aTask);
  mEnds.push_back({ ++mLastEnd, aTask, number, aHow });
  mHighest[aTask] = std::max(mHighest[aTask], number);
  mLog.Add(mSettings.mId, aTask, number, aHow);
  mChanged.notify_all();
}

std::optional<std::string> Runner::EndOf(const Run& aRun,
                                         std::int64_t aNow) const
{
  if (aNow >= mLeaseEnd) {
    return "lapsed";
  }
  if (aRun.mStopAt && aNow >= *aRun.mStopAt) {
    return "stopped";
  }
  if (aRun.mGang.empty()) {
    const bool done =
      aRun.mWorkMs > 0 && aNow - aRun.mStartedAt >= aRun.mWorkMs;
    return done ? std::optional<std::string>("done") : std::nullopt;
  }
  const Gangs::State gang = mLog.AllGangs().Of(aRun.mGang);
  if (gang.mBroken) {
    return "broken";
  }
  if (!gang.mCompleteAt) {
    const bool alone = aNow - aRun.mStartedAt >= kGangMs;
    return alone ? std::optional<std::string>("alone") : std::nullopt;
  }
  constexpr double kMsPerSecond = 1000.0;
  const double worked = (mRecord.Now() - *gang.mCompleteAt) * kMsPerSecond;
  return worked >= static_cast<double>(aRun.mWorkMs)
           ? std::optional<std::string>("done")
           : std::nullopt;
}

void Runner::Advance()
{
  const auto runs = mRuns;
  const std::int64_t now = ClockMs();
  if (const bool lapsed = now >= mLeaseEnd; lapsed != mLapsed) {
    mLapsed = lapsed;
    mRecord.Write("runner " + mSettings.mId +
                  (lapsed ? ": the lease lapsed" : ": a lease holds"));
  }
  for (const auto& [task, run] : runs) {
    if (const auto how = EndOf(run, now)) {
      Finish(task, *how);
    }
  }
}

} // namespace review
