#include "Cell.h"

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <thread>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Text.h"

namespace review {

namespace {

constexpr int kFrontPort = 8161;
constexpr int kAppPort = 8165;
constexpr int kControlPort = 8166;
constexpr int kReadyPort = 8167;
constexpr int kPlatformPort = 8169;
constexpr int kInternalPort = 7720;
constexpr int kMetricsPort = 9464;
constexpr int kStoreMachine = 2;
constexpr int kAdviceMachine = 3;
constexpr int kClientMachine = 4;
constexpr int kFirstFront = 10;
constexpr int kFirstSide = 50;

std::vector<Process*>& Started()
{
  static std::vector<Process*> sStarted;
  return sStarted;
}

} // namespace

bool WithTrouble()
{
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

void SleepMs(long long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

Process::Process(std::string aProgram,
                 std::map<std::string, std::string> aEnvironment,
                 std::string aLog)
  : mProgram(std::move(aProgram))
  , mEnvironment(std::move(aEnvironment))
  , mLog(std::move(aLog))
{
  Started().push_back(this);
  Start();
}

void Process::KillAll()
{
  for (Process* process : Started()) {
    process->Kill();
  }
}

void Process::Start()
{
  std::vector<std::string> texts;
  for (const auto& [name, value] : mEnvironment) {
    texts.push_back(name + "=" + value);
  }
  for (const char* name : { "PATH", "HOME", "LANG" }) {
    if (const char* const value = std::getenv(name)) {
      texts.push_back(std::string(name) + "=" + value);
    }
  }
  std::vector<char*> environment;
  for (std::string& text : texts) {
    environment.push_back(text.data());
  }
  environment.push_back(nullptr);
  char* arguments[] = { mProgram.data(), nullptr };
  mPid = fork();
  if (mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
      open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(mProgram.c_str(), arguments, environment.data());
    _exit(127);
  }
}

void Process::Signal(int aSignal) const
{
  if (mPid > 0) {
    kill(mPid, aSignal);
  }
}

void Process::Kill()
{
  if (mPid > 0) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    mPid = -1;
  }
}

bool Process::Alive()
{
  if (mPid > 0 && waitpid(mPid, nullptr, WNOHANG) == mPid) {
    mPid = -1;
  }
  return mPid > 0;
}

std::string Cell::Ip(int aMachine) const
{
  return mNet + std::to_string(aMachine);
}

Cell::Cell(const Settings& aSettings, Record& aRecord, Pool::Planner aPlanner)
  : mRecord(aRecord)
  , mFolder(aSettings.mFolder)
  , mPool(aRecord, std::move(aPlanner))
{
  // A block of addresses of its own, so that two scripts can run at a time.
  for (int attempt = 0; attempt < 200 && mNet.empty(); ++attempt) {
    const int block = static_cast<int>(getpid()) + attempt;
    mNet = "127." + std::to_string(64 + block % 128) + "." +
           std::to_string(1 + block / 128 % 250) + ".";
    if (!IsFree({ Ip(kStoreMachine), kPlatformPort }) ||
        !IsFree({ Ip(kFirstFront), kFrontPort })) {
      mNet.clear();
    }
  }
  const Address store{ Ip(kStoreMachine), kPlatformPort };
  mStore = std::make_unique<Store>(store, mRecord);
  const char* const zones[] = { "zone-a", "zone-b", "zone-c" };
  std::string seeds;
  for (int i = 0; i < std::min(aSettings.mFronts, 3); ++i) {
    seeds +=
      (i == 0 ? "" : ",") + Address{ Ip(kFirstFront + i), kControlPort }.Text();
  }
  // The variables of deploy/system.toml.
  for (int i = 0; i < aSettings.mFronts; ++i) {
    const std::string ip = Ip(kFirstFront + i);
    const std::string id = "front-" + std::to_string(i + 1);
    mFrontIds.push_back(id);
    mFronts.push_back(std::make_unique<Process>(
      "target/apps/foxtailbarrow-scheduler",
      std::map<std::string, std::string>{
        { "FOXTAILBARROW_ID", id },
        { "FOXTAILBARROW_LISTEN", Address{ ip, kFrontPort }.Text() },
        { "FOXTAILBARROW_READY", Address{ ip, kReadyPort }.Text() },
        { "FOXTAILBARROW_PEERS", Address{ ip, kInternalPort }.Text() },
        { "FOXTAILBARROW_CONTROL", Address{ ip, kControlPort }.Text() },
        { "FOXTAILBARROW_METRICS", Address{ ip, kMetricsPort }.Text() },
        { "FOXTAILBARROW_STORE", store.Text() },
        { "FOXTAILBARROW_ADVICE",
          Address{ Ip(kAdviceMachine), kPlatformPort }.Text() },
        { "FOXTAILBARROW_SEEDS", seeds },
        { "FOXTAILBARROW_PROCESSOR_SHARE", "0.25" },
        { "FOXTAILBARROW_MEMORY_MB", "260" },
        { "FOXTAILBARROW_MAX_DESCRIPTORS", "4100" },
        { "FOXTAILBARROW_MAX_HOLD_MS", "6000" },
        { "FOXTAILBARROW_STOP_MS", std::to_string(aSettings.mStopMs) },
        { "FOXTAILBARROW_CONFIG_APPLY_MS", "3000" },
        { "FOXTAILBARROW_KEEP_ENDED_MS", "120000" } },
      mFolder + "/" + id + ".log"));
  }
  for (int i = 0; i < aSettings.mSides; ++i) {
    const std::string ip = Ip(kFirstSide + i);
    const std::string id = "side-" + std::to_string(i + 1);
    mSides.push_back(std::make_unique<Process>(
      "target/apps/foxtailbarrow-taskagent",
      std::map<std::string, std::string>{
        { "FOXTAILBARROW_ID", id },
        { "FOXTAILBARROW_LISTEN", Address{ ip, kInternalPort }.Text() },
        { "FOXTAILBARROW_CONTROL", Address{ ip, kControlPort }.Text() },
        { "FOXTAILBARROW_METRICS", Address{ ip, kMetricsPort }.Text() },
        { "FOXTAILBARROW_WORKER", Address{ ip, kAppPort }.Text() },
        { "FOXTAILBARROW_STORE", store.Text() },
        { "FOXTAILBARROW_SEEDS", seeds },
        { "FOXTAILBARROW_MEMORY_MB", "128" },
        { "FOXTAILBARROW_MAX_DESCRIPTORS", "4096" } },
      mFolder + "/" + id + ".log"));
    Runner::Settings settings;
    settings.mName = "r" + std::to_string(i + 1);
    settings.mListen = { ip, kAppPort };
    settings.mControl = { ip, kControlPort };
    settings.mService = "huvo11a";
    settings.mZone = zones[i % 3];
    const int named =
      i - aSettings.mSides + static_cast<int>(aSettings.mRacks.size());
    settings.mRack = named >= 0
                       ? aSettings.mRacks[static_cast<std::size_t>(named)]
                       : "r1-" + std::to_string(i / 3 + 1);
    mRunners.push_back(std::make_unique<Runner>(mPool, settings));
  }
}

bool Cell::Begin(const std::string& aConfiguration)
{
  if (mNet.empty() || !mStore->Listening()) {
    return false;
  }
  mStore->Put("op/config", aConfiguration);
  const long long end = NowMs() + 15'000;
  std::size_t ready = 0;
  while (NowMs() < end && ready < mFronts.size()) {
    SleepMs(100);
    ready = 0;
    for (std::size_t i = 0; i < mFronts.size(); ++i) {
      const Address address{ Ip(kFirstFront + static_cast<int>(i)),
                             kReadyPort };
      const auto answer =
        Call(Ip(kClientMachine), address, "GET", "/ready", {}, {}, 1000);
      ready += answer && answer->mStatus == 200 ? 1 : 0;
    }
  }
  while (NowMs() < end && !Leader()) {
    SleepMs(100);
  }
  SleepMs(3000); // Every runner has sent heartbeats, every agent reports.
  mReady = ready == mFronts.size() && Leader().has_value();
  return mReady;
}

std::optional<Response> Cell::Ask(std::size_t aFront,
                                  const std::string& aMethod,
                                  const std::string& aHost,
                                  const std::string& aPath,
                                  const std::string& aBody,
                                  int aTimeoutMs)
{
  const std::string text = mFrontIds.at(aFront) + ": " + aMethod + " " + aPath;
  mRecord.Add("client to " + text + (aBody.empty() ? "" : " " + aBody));
  const Address address{ Ip(kFirstFront + static_cast<int>(aFront)),
                         kFrontPort };
  const auto answer =
    Call(Ip(kClientMachine),
         address,
         aMethod,
         aPath,
         { { "Host", aHost }, { "Timeout-Ms", std::to_string(aTimeoutMs) } },
         aBody,
         aTimeoutMs);
  mRecord.Add("answer of " + text + ": " +
              (answer ? std::to_string(answer->mStatus) + " " + answer->mBody
                      : std::string("none")));
  return answer;
}

std::optional<std::size_t> Cell::Leader()
{
  const Json::Value record = ParseJson(mStore->Get("foxtailbarrow/owner"));
  for (std::size_t i = 0; i < mFrontIds.size(); ++i) {
    if (record.isObject() && record["scheduler"].asString() == mFrontIds[i]) {
      return i;
    }
  }
  return std::nullopt;
}

} // namespace review
