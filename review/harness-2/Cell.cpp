#include "Cell.h"

#include <csignal>
#include <fstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::string Local(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

constexpr double kPoll = 0.05;
/// Longer bodies are left out of the record.
constexpr std::size_t kLongestShown = 1000;
/// Until a process that was killed is started again.
constexpr double kRestartDelay = 0.3;

} // namespace

void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

Process::Process(std::string aProgram,
                 std::map<std::string, std::string> aEnvironment,
                 std::string aLog)
  : mProgram(std::move(aProgram))
  , mEnvironment(std::move(aEnvironment))
  , mLog(std::move(aLog))
{
}

Process::~Process()
{
  if (mId > 0) {
    Signal(SIGTERM);
    AwaitEnd(6000);
  }
}

void Process::Start()
{
  std::vector<std::string> variables;
  for (const auto& [name, value] : mEnvironment) {
    variables.push_back(name + "=" + value);
  }
  std::vector<char*> environment;
  for (std::string& variable : variables) {
    environment.push_back(variable.data());
  }
  environment.push_back(nullptr);
  mId = ::fork();
  if (mId == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Should this process be killed.
    const int log =
      ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    char* arguments[] = { mProgram.data(), nullptr };
    ::execve(mProgram.c_str(), arguments, environment.data());
    ::_exit(127);
  }
}

void Process::Signal(int aSignal) const
{
  if (mId > 0) {
    ::kill(mId, aSignal);
  }
}

bool Process::Ended()
{
  if (mId > 0 && ::waitpid(mId, nullptr, WNOHANG) == mId) {
    mId = -1;
  }
  return mId < 0;
}

std::int64_t Process::MemoryMb() const
{
  constexpr std::int64_t kPagesPerMb = 256;
  std::ifstream file("/proc/" + std::to_string(mId) + "/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  return mId > 0 && file >> size >> resident ? resident / kPagesPerMb : 0;
}

void Process::AwaitEnd(int aTimeoutMs)
{
  for (int waited = 0; !Ended(); waited += 10) {
    if (waited >= aTimeoutMs) {
      Signal(SIGKILL);
      ::waitpid(mId, nullptr, 0);
      mId = -1;
      return;
    }
    Sleep(0.01);
  }
}

Cell::Cell(Record& aRecord,
           const std::string& aFolder,
           int aSchedulers,
           const std::vector<std::string>& aKinds,
           std::int64_t aCpu,
           std::int64_t aMemMb)
  : mRecord(aRecord)
  , mRuns(aRecord)
  , mStorePort(FreePort())
{
  mStore = std::make_unique<Store>(mStorePort, aRecord);
  std::string seeds;
  for (int i = 0; i < aSchedulers; ++i) {
    mAddresses.push_back({ FreePort(), FreePort(), FreePort(), FreePort() });
    seeds += (i == 0 ? "" : ",") + Local(mAddresses.back().mControl);
  }
  for (int i = 0; i < aSchedulers; ++i) {
    const SchedulerAddresses& at = mAddresses[static_cast<std::size_t>(i)];
    const std::string id = "front-" + std::to_string(i + 1);
    mSchedulers.push_back(std::make_unique<Process>(
      "target/apps/foxtailbarrow-scheduler",
      std::map<std::string, std::string>{
        { "FOXTAILBARROW_ID", id },
        { "FOXTAILBARROW_LISTEN", Local(at.mFront) },
        { "FOXTAILBARROW_READY", Local(at.mReady) },
        { "FOXTAILBARROW_PEERS", Local(at.mPeers) },
        { "FOXTAILBARROW_CONTROL", Local(at.mControl) },
        { "FOXTAILBARROW_METRICS", Local(FreePort()) },
        { "FOXTAILBARROW_STORE", Local(mStorePort) },
        { "FOXTAILBARROW_ADVICE", Local(FreePort()) },
        { "FOXTAILBARROW_SEEDS", seeds },
        { "FOXTAILBARROW_PROCESSOR_SHARE", "0.25" },
        { "FOXTAILBARROW_MAX_HOLD_MS", "6000" },
        { "FOXTAILBARROW_STOP_MS", "200" },
        { "FOXTAILBARROW_CONFIG_APPLY_MS", "2000" },
        { "FOXTAILBARROW_KEEP_ENDED_MS", "120000" } },
      aFolder + "/" + id + ".log"));
  }
  for (std::size_t i = 0; i < aKinds.size(); ++i) {
    const std::string number = std::to_string(i + 1);
    RunnerSettings runner;
    runner.mId = "i-" + number;
    runner.mService = kService;
    runner.mZone = "zone-" + number;
    runner.mKind = aKinds[i];
    runner.mRack = "r1-" + number;
    runner.mCpu = aCpu;
    runner.mMemMb = aMemMb;
    runner.mPort = FreePort();
    runner.mControl = FreePort();
    mAgents.push_back(std::make_unique<Process>(
      "target/apps/foxtailbarrow-taskagent",
      std::map<std::string, std::string>{
        { "FOXTAILBARROW_ID", "side-" + number },
        { "FOXTAILBARROW_LISTEN", Local(FreePort()) },
        { "FOXTAILBARROW_CONTROL", Local(runner.mControl) },
        { "FOXTAILBARROW_METRICS", Local(FreePort()) },
        { "FOXTAILBARROW_WORKER", Local(runner.mPort) },
        { "FOXTAILBARROW_STORE", Local(mStorePort) },
        { "FOXTAILBARROW_SEEDS", seeds } },
      aFolder + "/side-" + number + ".log"));
    mRunners.push_back(
      std::make_unique<Runner>(std::move(runner), mRuns, aRecord));
  }
  for (const auto& process : mSchedulers) {
    process->Start();
  }
  for (const auto& process : mAgents) {
    process->Start();
  }
}

Cell::~Cell()
{
  mStopping = true;
  if (mMemoryGuard.joinable()) {
    mMemoryGuard.join();
  }
  for (const auto& process : mSchedulers) {
    process->Signal(SIGTERM);
  }
  for (const auto& process : mAgents) {
    process->Signal(SIGTERM);
  }
  mSchedulers.clear();
  mAgents.clear();
  mRunners.clear();
}

void Cell::CrashRunner(std::size_t aIndex, double aSeconds)
{
  RunnerSettings settings = mRunners[aIndex]->Settings();
  mRecord.Write("runner " + settings.mId + ": crashes");
  mRunners[aIndex].reset();
  Sleep(aSeconds);
  settings.mId += "b";
  mRecord.Write("runner " + settings.mId + ": started in its place");
  mRunners[aIndex] =
    std::make_unique<Runner>(std::move(settings), mRuns, mRecord);
}

void Cell::EnforceMemory(std::int64_t aMemoryMb)
{
  mMemoryKills.resize(mSchedulers.size());
  mMemoryGuard = std::thread([this, aMemoryMb] {
    while (!mStopping) {
      Sleep(0.02);
      for (std::size_t i = 0; i < mSchedulers.size(); ++i) {
        const std::int64_t used = mSchedulers[i]->MemoryMb();
        if (!mSchedulers[i]->Ended() && used <= aMemoryMb) {
          continue;
        }
        mRecord.Write("platform: front-" + std::to_string(i + 1) + " uses " +
                      std::to_string(used) + " MB of " +
                      std::to_string(aMemoryMb) + ": killed");
        mSchedulers[i]->Signal(SIGKILL);
        mSchedulers[i]->AwaitEnd(1000);
        {
          const std::lock_guard lock(mKillsMutex);
          ++mMemoryKills[i];
        }
        Sleep(kRestartDelay);
        mSchedulers[i]->Start();
      }
    }
  });
}

std::vector<int> Cell::MemoryKills() const
{
  const std::lock_guard lock(mKillsMutex);
  return mMemoryKills;
}

void Cell::Configure(std::int64_t aVersion,
                     const std::vector<std::string>& aQueues)
{
  Json::Value root;
  root["Version"] = Json::Int64{ aVersion };
  root["Routes"] = Json::Value(Json::arrayValue);
  std::string names;
  for (const std::string& queue : aQueues) {
    Json::Value route;
    route["Name"] = "r-" + queue;
    route["Host"] = kHost;
    route["Prefix"] = "/" + queue + "/";
    route["Kind"] = "unsafe";
    route["TimeoutMs"] = 3000;
    route["SloMs"] = 1000;
    route["Priority"] = 0;
    route["Service"] = kService;
    route["Attempts"] = 3;
    route["Stretch"] = 2.0;
    root["Routes"].append(route);
    names += " /" + queue + "/";
  }
  Json::Value service;
  service["Name"] = kService;
  service["HealthPath"] = "/health";
  service["MaxConns"] = 64;
  service["Protocol"] = "h1";
  service["Tls"] = false;
  service["EnforcesCapacity"] = false;
  service["Spare"] = false;
  root["Services"].append(service);
  root["Limits"]["MaxHeaderBytes"] = 16384;
  root["Limits"]["MaxBodyBytes"] = 262144;
  root["Limits"]["HeaderTimeoutMs"] = 3000;
  root["Limits"]["IdleTimeoutMs"] = 15000;
  mStore->Put("op/config", ToText(root));
  mRecord.Write("operator: configuration " + std::to_string(aVersion) +
                " acknowledged, queues" + names);
}

bool Cell::Ready(std::size_t aScheduler)
{
  const auto response =
    Call(mAddresses[aScheduler].mReady, "GET", "/ready", "ready", "", 500);
  return response && response->mStatus == 200;
}

bool Cell::AwaitReady()
{
  for (double waited = 0; waited < 15; waited += kPoll) {
    bool all = true;
    for (std::size_t i = 0; i < mAddresses.size(); ++i) {
      all = all && Ready(i);
    }
    if (all) {
      return true;
    }
    Sleep(kPoll);
  }
  return false;
}

std::size_t Cell::Owner()
{
  const auto response = Call(
    mStorePort, "GET", "/kv-key?Key=foxtailbarrow/owner", "store", "", 500);
  if (!response || response->mStatus != 200) {
    return mAddresses.size();
  }
  const std::string record =
    FromBase64(FromText(response->mBody)["Value"].asString());
  for (std::size_t i = 0; i < mAddresses.size(); ++i) {
    if (record.find("\"front-" + std::to_string(i + 1) + "\"") !=
        std::string::npos) {
      return i;
    }
  }
  return mAddresses.size();
}

int Cell::Ask(const std::string& aMethod,
              const std::string& aTarget,
              const std::string& aBody,
              std::string* aAnswer,
              std::size_t aScheduler,
              int aTimeoutMs)
{
  const double sentAt = mRecord.Now();
  const auto response =
    Call(mAddresses[aScheduler].mFront,
         aMethod,
         aTarget,
         kHost,
         aBody,
         aTimeoutMs,
         "Timeout-Ms: " + std::to_string(aTimeoutMs) + "\r\n");
  char took[32];
  std::snprintf(took, sizeof(took), "%.3f", mRecord.Now() - sentAt);
  mRecord.Write("client: " + aMethod + " " + aTarget +
                (aBody.size() > kLongestShown
                   ? " (" + std::to_string(aBody.size()) + " bytes)"
                 : aBody.empty() ? ""
                                 : " " + aBody) +
                " to front-" + std::to_string(aScheduler + 1) + " -> " +
                (response
                   ? std::to_string(response->mStatus) + " " + response->mBody
                   : "no answer") +
                " after " + took + " s");
  if (response && aAnswer != nullptr) {
    *aAnswer = response->mBody;
  }
  return response ? response->mStatus : -1;
}

bool Cell::Submit(const std::string& aTarget, const std::string& aBody)
{
  for (std::size_t attempt = 0; attempt < 20; ++attempt) {
    // The platform leads a repeated request to another node.
    const std::size_t scheduler = attempt % mAddresses.size();
    if (Ask("POST", aTarget, aBody, nullptr, scheduler) == 200) {
      return true;
    }
    Sleep(0.5);
  }
  return false;
}

} // namespace review
