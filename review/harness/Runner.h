#pragma once

#include <algorithm>
#include <memory>
#include <vector>

#include "Http.h"

namespace review {

/// An event that a runner has seen.
struct RunEvent
{
  enum class Kind
  {
    Started,
    Ended,
    Acked,
    Lapsed, ///< The runner's lease.
    Crashed ///< Of each run on it.
  };
  Kind mKind = Kind::Started;
  std::string mRunner; ///< Its id in this life.
  std::string mTask;
  std::int64_t mRun = 0;
  std::string mHow; ///< Of an end.
  TimePoint mAt;
};

/// A runner that doesn't guard its capacity, as PROTOCOL.md describes it. The
/// Spec of a job says how long its tasks work and how they end:
/// "work=800", "fails=800", "lasts".
class Runner
{
public:
  struct Settings
  {
    Address mApp;     ///< For calls of its agent.
    Address mControl; ///< Of its agent.
    std::string mName;
    std::string mService;
    std::string mZone;
    std::string mRack;
    std::int64_t mCpu = 64000;
    std::int64_t mMemMb = 256000;
    Ms mHoldMax{ 6000 };
    Ms mStopTime{ 300 };
    Ms mBeat{ 1500 };
  };
  using Sink = std::function<void(const RunEvent&)>;

  Runner(Settings aSettings, Sink aSink)
    : mSettings(std::move(aSettings))
    , mSink(std::move(aSink))
    , mServer(mSettings.mApp,
              [this](const HttpMessage& aRequest) { return Handle(aRequest); })
  {
  }

  bool Open()
  {
    Begin();
    std::thread([this] { Tick(); }).detach();
    std::thread([this] { Beat(); }).detach();
    return mServer.Open();
  }

  /// Everything that runs is gone, and connections are refused.
  void Crash()
  {
    mServer.Close();
    const std::lock_guard lock(mMutex);
    mUp = false;
    for (const auto& [task, run] : mRuns) {
      Tell(RunEvent::Kind::Crashed, task, run.mNumber, "crash");
    }
    mRuns.clear();
  }

  /// Back after a crash, with a new id.
  bool Restart()
  {
    {
      const std::lock_guard lock(mMutex);
      Begin();
    }
    return mServer.Open();
  }

  bool Up() const { return mUp; }

private:
  struct Run
  {
    std::int64_t mNumber = 0;
    TimePoint mEnd = TimePoint::max();
    TimePoint mStop = TimePoint::max();
    bool mFails = false;
    TimePoint mStart;
    Ms mWork{};
  };

  void Begin()
  {
    mId = mSettings.mName + "-" + std::to_string(++mLives);
    mBegan = Now();
    mFence = 0;
    mLease = mBegan;
    mLeased = false;
    mEnded.clear();
    mHighest.clear();
    mEnds = 0;
    mCallSeq = 0;
    mUp = true;
  }

  std::int64_t ClockMs(TimePoint aAt) const
  {
    constexpr std::int64_t kFirst = 482000;
    return kFirst + std::chrono::duration_cast<Ms>(aAt - mBegan).count();
  }

  void Tell(RunEvent::Kind aKind,
            const std::string& aTask,
            std::int64_t aRun,
            const std::string& aHow)
  {
    mSink({ aKind, mId, aTask, aRun, aHow, Now() });
  }

  void End(const std::string& aTask, const std::string& aHow)
  {
    const std::int64_t run = mRuns.at(aTask).mNumber;
    Json::Value row(Json::arrayValue);
    row.append(Json::Int64{ ++mEnds });
    row.append(aTask);
    row.append(Json::Int64{ run });
    row.append(aHow);
    row.append("");
    mEnded.push_back(row);
    mHighest[aTask] = std::max(mHighest[aTask], run);
    mRuns.erase(aTask);
    Tell(RunEvent::Kind::Ended, aTask, run, aHow);
  }

  void Advance()
  {
    const TimePoint now = Now();
    if (mLeased && now >= mLease) {
      mLeased = false;
      Tell(RunEvent::Kind::Lapsed, "", 0, "");
    }
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : mRuns) {
      if (now >= mLease) {
        ends.emplace_back(task, "lapsed");
      } else if (now >= run.mStop) {
        ends.emplace_back(task, "stopped");
      } else if (now >= run.mEnd) {
        ends.emplace_back(task, run.mFails ? "failed" : "done");
      }
    }
    for (const auto& [task, how] : ends) {
      End(task, how);
    }
  }

  void Tick()
  {
    for (;;) {
      std::this_thread::sleep_for(Ms(5));
      const std::lock_guard lock(mMutex);
      if (mUp) {
        Advance();
      }
    }
  }

  void Beat()
  {
    for (;;) {
      Json::Value body;
      std::string id;
      {
        const std::lock_guard lock(mMutex);
        id = mId;
        body["Service"] = mSettings.mService;
        body["Addr"] = mSettings.mApp.Text();
        body["Zone"] = mSettings.mZone;
        body["Version"] = "v1";
        body["Slots"] = 8;
        body["State"] = "ready";
        body["ColdLeftMs"] = 0;
        body["Capacity"]["Cpu"] = Json::Int64{ mSettings.mCpu };
        body["Capacity"]["MemMb"] = Json::Int64{ mSettings.mMemMb };
        body["Capacity"]["Gpu"] = 0;
        body["Labels"].append("a");
        body["Labels"].append(mSettings.mRack);
        body["ClockMs"] = Json::Int64{ ClockMs(Now()) };
        body["CallSeq"] = Json::Int64{ ++mCallSeq };
      }
      if (mUp) {
        Call(mSettings.mControl,
             "PUT",
             "/runners/" + id,
             mSettings.mControl.Text(),
             Format(body),
             Ms(1000));
      }
      std::this_thread::sleep_for(mUp ? mSettings.mBeat : Ms(50));
    }
  }

  static HttpMessage Reply(int aStatus, const Json::Value& aBody)
  {
    HttpMessage response;
    response.mStatus = aStatus;
    response.mBody = Format(aBody);
    return response;
  }

  HttpMessage Refuse(int aStatus, const std::string& aReason) const
  {
    Json::Value body;
    body["ClockMs"] = Json::Int64{ ClockMs(Now()) };
    body["Reason"] = aReason;
    return Reply(aStatus, body);
  }

  void Extend(const Json::Value& aDeadline)
  {
    const TimePoint now = Now();
    const TimePoint asked = mBegan + Ms(aDeadline.asInt64() - ClockMs(mBegan));
    mLease = std::max(mLease, std::min(asked, now + mSettings.mHoldMax));
    mLeased = mLease > now;
  }

  HttpMessage Handle(const HttpMessage& aRequest)
  {
    std::unique_lock lock(mMutex);
    if (!mUp) {
      return {};
    }
    Advance();
    const auto expected = aRequest.mHeaders.find("expect-instance");
    if (expected != aRequest.mHeaders.end() && expected->second != mId) {
      return Refuse(421, "instance");
    }
    const Json::Value body = Parse(aRequest.mBody);
    const std::int64_t fence = body["Fence"].asInt64();
    if (fence < mFence) {
      return Refuse(409, "fence");
    }
    mFence = fence;
    if (aRequest.mTarget == "/hold") {
      return Hold(lock, body);
    }
    const std::string task = body["Task"].asString();
    const std::int64_t run = body["Run"].asInt64();
    const auto found = mRuns.find(task);
    const bool there = found != mRuns.end() && found->second.mNumber == run;
    if (aRequest.mTarget == "/run-stop") {
      if (there) {
        found->second.mStop =
          std::min(found->second.mStop, Now() + mSettings.mStopTime);
      } else {
        mHighest[task] = std::max(mHighest[task], run);
      }
    } else if (aRequest.mTarget == "/run-start" && !there) {
      if (body["DeadlineMs"].asInt64() <= ClockMs(Now())) {
        return Refuse(409, "late");
      }
      Extend(body["DeadlineMs"]);
      if (run <= mHighest[task] || found != mRuns.end()) {
        return Refuse(409, "old");
      }
      Start(task, run, body["Spec"].asString());
    }
    Json::Value reply;
    reply["ClockMs"] = Json::Int64{ ClockMs(Now()) };
    return Reply(200, reply);
  }

  void Start(const std::string& aTask,
             std::int64_t aRun,
             const std::string& aSpec)
  {
    Run run;
    run.mNumber = aRun;
    run.mStart = Now();
    run.mFails = aSpec.starts_with("fails=");
    if (const std::size_t equals = aSpec.find('=');
        equals != std::string::npos) {
      run.mWork = Ms(std::atoll(aSpec.c_str() + equals + 1));
      run.mEnd = run.mStart + run.mWork;
    }
    mRuns[aTask] = run;
    Tell(RunEvent::Kind::Started, aTask, aRun, "");
  }

  HttpMessage Hold(std::unique_lock<std::mutex>& aLock,
                   const Json::Value& aBody)
  {
    constexpr std::size_t kEndsAtATime = 500;
    if (aBody.isMember("DeadlineMs")) {
      Extend(aBody["DeadlineMs"]);
    }
    while (!mEnded.empty() &&
           mEnded.front()[0].asInt64() <= aBody["Acked"].asInt64()) {
      Tell(RunEvent::Kind::Acked,
           mEnded.front()[1].asString(),
           mEnded.front()[2].asInt64(),
           mEnded.front()[3].asString());
      mEnded.erase(mEnded.begin());
    }
    const int life = mLives;
    const TimePoint end = Now() + Ms(aBody["WaitMs"].asInt64());
    while (mEnded.empty() && Now() < end && mUp && life == mLives) {
      aLock.unlock();
      std::this_thread::sleep_for(Ms(5));
      aLock.lock();
    }
    if (!mUp || life != mLives) {
      return {};
    }
    Advance();
    Json::Value reply;
    reply["ClockMs"] = Json::Int64{ ClockMs(Now()) };
    reply["Running"] = Json::arrayValue;
    reply["Ended"] = Json::arrayValue;
    for (const auto& [task, run] : mRuns) {
      Json::Value row(Json::arrayValue);
      row.append(task);
      row.append(Json::Int64{ run.mNumber });
      row.append("");
      row.append(run.mWork.count() == 0
                   ? 100
                   : static_cast<int>(100 * (Now() - run.mStart) / run.mWork));
      row.append(0);
      reply["Running"].append(row);
    }
    for (std::size_t i = 0; i < std::min(mEnded.size(), kEndsAtATime); ++i) {
      reply["Ended"].append(mEnded[i]);
    }
    return Reply(200, reply);
  }

  Settings mSettings;
  Sink mSink;
  std::mutex mMutex;
  std::string mId;
  int mLives = 0;
  TimePoint mBegan;
  std::int64_t mFence = 0;
  TimePoint mLease;
  bool mLeased = false;
  std::map<std::string, Run> mRuns;
  std::map<std::string, std::int64_t> mHighest;
  std::vector<Json::Value> mEnded;
  std::int64_t mEnds = 0;
  std::int64_t mCallSeq = 0;
  std::atomic<bool> mUp{ false };
  HttpServer mServer;
};

} // namespace review
