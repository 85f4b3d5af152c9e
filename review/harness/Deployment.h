#pragma once

#include <csignal>
#include <cstdlib>
#include <memory>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "Quota.h"
#include "Runner.h"
#include "Store.h"

namespace review {

/// A program of the deploy file in a process of its own.
class Program
{
public:
  Program(std::string aPath,
          std::vector<std::pair<std::string, std::string>> aSettings,
          std::string aLog)
    : mPath(std::move(aPath))
    , mSettings(std::move(aSettings))
    , mLog(std::move(aLog))
  {
  }

  /// From now on the process may use this share of one core.
  void Limit(double aShare)
  {
    mShare = aShare;
    LimitProcess();
  }

  void Start()
  {
    std::vector<std::string> texts;
    for (const auto& [name, value] : mSettings) {
      texts.push_back("FOXTAILBARROW_" + name + "=" + value);
    }
    std::vector<char*> variables;
    for (std::string& text : texts) {
      variables.push_back(text.data());
    }
    variables.push_back(nullptr);
    char* arguments[] = { mPath.data(), nullptr };
    const pid_t parent = getpid();
    mPid = fork();
    if (mPid != 0) {
      LimitProcess();
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    const int log = open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    execve(mPath.c_str(), arguments, variables.data());
    _exit(127);
  }

  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }

  void Kill()
  {
    mQuota.reset();
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }

  /// How the process has ended by itself; empty while it runs.
  std::string OwnEnd()
  {
    int status = 0;
    if (mPid <= 0 || waitpid(mPid, &status, WNOHANG) == 0) {
      return "";
    }
    mQuota.reset();
    mPid = -1;
    return WIFSIGNALED(status)
             ? "signal " + std::to_string(WTERMSIG(status))
             : "exit code " + std::to_string(WEXITSTATUS(status));
  }

private:
  void LimitProcess()
  {
    if (mPid > 0 && mShare < 1.0) {
      mQuota = std::make_unique<Quota>(mPid, mShare);
    }
  }

  std::string mPath;
  std::vector<std::pair<std::string, std::string>> mSettings;
  std::string mLog;
  pid_t mPid = -1;
  double mShare = 1.0;
  std::unique_ptr<Quota> mQuota;
};

/// A small deployment: schedulers, runners with their task agents, the store.
/// Settings as deploy/system.toml gives them for qoima-ala.
class Deployment
{
public:
  static constexpr unsigned kSchedulers = 3;

  Deployment(Record& aRecord, unsigned aRunners, Runner::Sink aSink)
    : mRecord(aRecord)
    , mPrograms(std::getenv("REVIEW_PROGRAMS"))
    , mLogs(std::getenv("REVIEW_LOGS"))
    , mStore(StoreAddress())
  {
    std::string seeds;
    for (unsigned i = 0; i < kSchedulers; ++i) {
      seeds += (i == 0 ? "" : ",") + Front(i, kControl).Text();
    }
    for (unsigned i = 0; i < kSchedulers; ++i) {
      const std::string node = "front-ala-hall-" + Zone(i) + "-1";
      mSchedulers.emplace_back(
        mPrograms + "/foxtailbarrow-scheduler",
        std::vector<std::pair<std::string, std::string>>{
          { "ID", node },
          { "LISTEN", Front(i, kFront).Text() },
          { "READY", Front(i, kReady).Text() },
          { "PEERS", Front(i, kInternal).Text() },
          { "CONTROL", Front(i, kControl).Text() },
          { "METRICS", Front(i, kMetrics).Text() },
          { "STORE", StoreAddress().Text() },
          { "ADVICE", Address{ Network() + "252", kPlatform }.Text() },
          { "SEEDS", seeds },
          { "PROCESSOR_SHARE", "0.25" },
          { "MAX_HOLD_MS", "6000" },
          { "STOP_MS", "400" },
          { "CONFIG_APPLY_MS", "2000" },
          { "KEEP_ENDED_MS", "120000" } },
        mLogs + "/" + node + ".log");
    }
    for (unsigned i = 0; i < aRunners; ++i) {
      const std::string node =
        "side-ala-hall-" + Zone(i) + "-" + std::to_string(i / 3 + 1);
      mAgents.emplace_back(mPrograms + "/foxtailbarrow-taskagent",
                           std::vector<std::pair<std::string, std::string>>{
                             { "ID", node },
                             { "LISTEN", Side(i, kInternal).Text() },
                             { "CONTROL", Side(i, kControl).Text() },
                             { "METRICS", Side(i, kMetrics).Text() },
                             { "WORKER", Side(i, kApp).Text() },
                             { "STORE", StoreAddress().Text() },
                             { "SEEDS", seeds } },
                           mLogs + "/" + node + ".log");
      Runner::Settings settings;
      settings.mApp = Side(i, kApp);
      settings.mControl = Side(i, kControl);
      settings.mName = "i-" + std::to_string(i);
      settings.mService = "vault-api";
      settings.mZone = "ala-hall-" + Zone(i);
      settings.mRack = "r-" + std::to_string(i / 3);
      mRunners.push_back(std::make_unique<Runner>(settings, aSink));
    }
  }

  void StopPrograms()
  {
    for (Program& program : mSchedulers) {
      program.Kill();
    }
    for (Program& program : mAgents) {
      program.Kill();
    }
  }

  /// False if an address is in use or nobody takes callers within 10 s.
  bool Start(const Json::Value& aConfiguration)
  {
    mStore.Put("op/config", Format(aConfiguration));
    if (!mStore.Open()) {
      return false;
    }
    for (Program& program : mSchedulers) {
      program.Start();
    }
    for (std::size_t i = 0; i < mAgents.size(); ++i) {
      mAgents[i].Start();
      if (!mRunners[i]->Open()) {
        return false;
      }
    }
    const TimePoint end = Now() + std::chrono::seconds(10);
    while (Now() < end) {
      std::this_thread::sleep_for(Ms(100));
      bool ready = OwnerIndex() >= 0;
      for (unsigned i = 0; i < kSchedulers; ++i) {
        ready =
          ready &&
          Call(Front(i, kReady), "GET", "/ready", "x", "", Ms(500)).mStatus ==
            200;
      }
      if (ready) {
        std::this_thread::sleep_for(std::chrono::seconds(3));
        return true;
      }
    }
    return false;
  }

  /// The scheduler that the store names as the owner; -1 if there is none.
  int OwnerIndex()
  {
    const std::string owner =
      Parse(mStore.Get("foxtailbarrow/owner"))["scheduler"].asString();
    for (unsigned i = 0; i < kSchedulers; ++i) {
      if (owner == "front-ala-hall-" + Zone(i) + "-1") {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  /// A request of a client; every attempt and its answer is recorded.
  HttpMessage Request(unsigned aScheduler,
                      const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody = "")
  {
    const HttpMessage answer = Call(Front(aScheduler % kSchedulers, kFront),
                                    aMethod,
                                    aTarget,
                                    "qoima.example",
                                    aBody,
                                    Ms(3000));
    mRecord.Line("client " + aMethod + " " + aTarget + " at front " +
                 std::to_string(aScheduler % kSchedulers) + " -> " +
                 std::to_string(answer.mStatus) + " " + answer.mBody);
    return answer;
  }

  /// Submits until a 2xx answer, at another node each time.
  bool Submit(const std::string& aTarget, const Json::Value& aJob)
  {
    constexpr unsigned kAttempts = 5;
    for (unsigned attempt = 0; attempt < kAttempts; ++attempt) {
      const int status =
        Request(mNextFront++, "POST", aTarget, Format(aJob)).mStatus;
      if (status / 100 == 2) {
        return true;
      }
      if (status != 0) {
        std::this_thread::sleep_for(Ms(1000)); // The shortest Retry-After.
      }
    }
    return false;
  }

  Store& PlatformStore() { return mStore; }
  Program& Scheduler(unsigned aIndex) { return mSchedulers[aIndex]; }
  Program& Agent(unsigned aIndex) { return mAgents[aIndex]; }
  Runner& RunnerAt(unsigned aIndex) { return *mRunners[aIndex]; }

private:
  static constexpr int kFront = 8161;
  static constexpr int kReady = 8167;
  static constexpr int kControl = 8166;
  static constexpr int kInternal = 7720;
  static constexpr int kMetrics = 9464;
  static constexpr int kApp = 8165;
  static constexpr int kPlatform = 8169;

  /// A loopback network of this process, so that ports are free.
  static std::string Network()
  {
    const unsigned process = static_cast<unsigned>(getpid());
    return "127." + std::to_string(20 + process % 200) + "." +
           std::to_string(process / 200 % 250) + ".";
  }
  static Address StoreAddress() { return { Network() + "250", kPlatform }; }
  static Address Front(unsigned aIndex, int aPort)
  {
    return { Network() + std::to_string(1 + aIndex), aPort };
  }
  static Address Side(unsigned aIndex, int aPort)
  {
    return { Network() + std::to_string(10 + aIndex), aPort };
  }
  static std::string Zone(unsigned aIndex)
  {
    return std::string(1, static_cast<char>('a' + aIndex % 3));
  }

  Record& mRecord;
  std::string mPrograms;
  std::string mLogs;
  Store mStore;
  std::vector<Program> mSchedulers;
  std::vector<Program> mAgents;
  std::vector<std::unique_ptr<Runner>> mRunners;
  unsigned mNextFront = 0;
};

} // namespace review
