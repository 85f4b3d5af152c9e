#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <json/value.h>

#include "Http.h"
#include "Record.h"

namespace review {

/// What a task does once it runs.
struct TaskPlan
{
  long long mWorkMs = 1000;
  bool mLasts = false; ///< Runs until it is stopped.
  bool mFails = false;
  int mGangSize = 0; ///< 0: not a member of a gang.
};

struct RunEvent
{
  enum class Kind
  {
    Started,
    Ended,
    Lost, ///< With its runner.
    Acked,
    Lapsed, ///< The runner's lease; refers to no task.
  };
  long long mAtMs = 0;
  Kind mKind = Kind::Started;
  std::string mRunner; ///< The machine's runner, over all its incarnations.
  std::string mTask;
  long long mRun = 0;
  std::string mHow; ///< Of Ended.
};

class Runner;

/// What all runners share: the tasks' plans, the gangs, and what has been seen.
class Pool
{
public:
  using Planner = std::function<TaskPlan(const std::string& aTask)>;

  Pool(Record& aRecord, Planner aPlanner);

  std::vector<RunEvent> Events();
  /// Number of runs that are alive now.
  std::size_t Running();
  /// Tasks that have ended as done.
  std::size_t Done();
  /// The runner that started a task last; null before the first.
  Runner* LastStarter();

private:
  friend class Runner;

  void Tick();
  void Add(RunEvent aEvent);

  Record& mRecord;
  Planner mPlanner;
  std::mutex mMutex;
  std::condition_variable mEnd;
  std::vector<Runner*> mRunners;
  std::vector<RunEvent> mEvents;
  Runner* mLastStarter = nullptr;
  std::thread mTicker;
};

/// A runner of the users' platform, as PROTOCOL.md describes it, with orders by
/// call. EnforcesCapacity is false.
class Runner
{
public:
  struct Settings
  {
    std::string mName;
    Address mListen;
    Address mControl;
    std::string mService;
    std::string mZone;
    std::string mRack;
    long long mCpu = 64'000;
    long long mMemMb = 256'000;
  };

  Runner(Pool& aPool, Settings aSettings);

  /// Everything that runs is lost, and the address refuses connections.
  void Crash();
  /// Starts a new incarnation under another id after a crash.
  void Start();

  /// Says from now on that it drains, and for how long at least.
  void Drain(long long aLeftMs);

  const std::string& Name() const { return mSettings.mName; }
  bool Up();

private:
  friend class Pool;

  struct Run
  {
    long long mNumber = 0;
    TaskPlan mPlan;
    long long mStartedMs = 0;
    long long mWorksSinceMs = -1; ///< Not yet at work.
    long long mStopAtMs = -1;
  };
  struct End
  {
    long long mNumber = 0;
    std::string mTask;
    long long mRun = 0;
    std::string mHow;
  };

  Response Handle(const Request& aRequest);
  Response Hold(const Json::Value& aBody, std::unique_lock<std::mutex>& aLock);
  Response StartRun(const Json::Value& aBody);
  Response StopRun(const Json::Value& aBody);
  Response Reply(int aStatus, const char* aReason = nullptr) const;
  Json::Value Lists() const;
  long long ClockMs() const { return NowMs() - mBornMs + 100'000; }
  bool TakeFence(const Json::Value& aBody);
  void TakeDeadline(const Json::Value& aBody);
  void Finish(const std::string& aTask, const std::string& aHow);
  void Tick();
  void Beat();

  Pool& mPool;
  Settings mSettings;
  std::unique_ptr<HttpServer> mServer;
  bool mUp = false;
  long long mLeavesAtMs = -1; ///< Of a runner that drains.
  std::string mId;
  int mIncarnation = 0;
  long long mBornMs = 0;
  long long mSequence = 0;
  long long mFence = 0;
  long long mDeadline = 0;
  bool mLapsed = true; ///< No lease is in force.
  std::map<std::string, Run> mRuns;
  std::map<std::string, long long> mHighestEnded;
  std::vector<End> mEnds;
  long long mEndCount = 0;
  std::thread mBeats;
};

} // namespace review
