#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Gangs.h"
#include "Http.h"
#include "Record.h"

namespace Json {
class Value;
}

namespace review {

struct RunnerSettings
{
  std::string mId;
  std::string mService;
  std::string mZone;
  std::string mKind; ///< The first label.
  std::string mRack; ///< The second label.
  std::int64_t mCpu = 8000;
  std::int64_t mMemMb = 16000;
  std::uint16_t mPort = 0;    ///< Where it takes its orders.
  std::uint16_t mControl = 0; ///< Where it sends its heartbeats.
};

/// Start or end of a run, as the runner saw it.
struct RunEvent
{
  double mAt = 0; ///< Seconds since the start of the record.
  std::string mRunner;
  std::string mTask;
  std::int64_t mRun = 0;
  std::string mWhat; ///< "start", or how it ended.
};

/// All that ran on the runners of a case.
class RunLog
{
public:
  explicit RunLog(Record& aRecord)
    : mRecord(aRecord)
  {
  }

  void Add(const std::string& aRunner,
           const std::string& aTask,
           std::int64_t aRun,
           const std::string& aWhat);
  /// Of one job; empty: of all.
  std::vector<RunEvent> Of(const std::string& aJob) const;
  /// True when a task of the job runs.
  bool Running(const std::string& aJob) const;
  Gangs& AllGangs() { return mGangs; }

private:
  Record& mRecord;
  mutable std::mutex mMutex;
  Gangs mGangs;
  std::vector<RunEvent> mEvents;
};

/// A sound application runner, as PROTOCOL.md describes it. A task works for
/// the milliseconds that its `Spec` names as "ms=N"; 0: until it is stopped.
/// With "gang=N" the N tasks of its step work together.
class Runner
{
public:
  Runner(RunnerSettings aSettings, RunLog& aLog, Record& aRecord);
  /// Ends without a word, like a process that is killed.
  ~Runner();

  const RunnerSettings& Settings() const { return mSettings; }

private:
  struct Run
  {
    std::int64_t mNumber = 0;
    std::int64_t mWorkMs = 0;
    std::int64_t mStartedAt = 0;
    std::int64_t mPercent = 100;
    std::optional<std::int64_t> mStopAt;
    std::string mGang; ///< Empty for a task of none.
  };
  struct End
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::int64_t mRun = 0;
    std::string mHow;
  };

  std::int64_t ClockMs() const;
  Response Handle(const Request& aRequest);
  Response Start(const Json::Value& aCall);
  Response Refuse(const char* aReason) const;
  Response Hold(const Json::Value& aCall, std::unique_lock<std::mutex>& aLock);
  void Extend(const Json::Value& aCall);
  /// How the run ends now, if it does.
  std::optional<std::string> EndOf(const Run& aRun, std::int64_t aNow) const;
  void Finish(const std::string& aTask, const std::string& aHow);
  void Advance();
  void Beat();

  RunnerSettings mSettings;
  RunLog& mLog;
  Record& mRecord;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Run> mRuns;
  std::vector<End> mEnds;
  std::map<std::string, std::int64_t> mHighest;
  std::int64_t mLastEnd = 0;
  std::int64_t mFence = 0;
  std::int64_t mLeaseEnd = 0;
  bool mLapsed = true;
  std::int64_t mSequence = 0;
  std::chrono::steady_clock::time_point mCreatedAt =
    std::chrono::steady_clock::now();
  bool mStopping = false;
  std::thread mTicks;
  std::thread mBeats;
  std::unique_ptr<HttpServer> mServer;
};

} // namespace review
