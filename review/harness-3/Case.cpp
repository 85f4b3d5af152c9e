#include "Case.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <unistd.h>

#include "Text.h"

namespace review {

std::string Configuration(int aVersion, const std::vector<Queue>& aQueues)
{
  Json::Value root;
  root["Version"] = aVersion;
  root["Routes"] = Json::arrayValue;
  for (const Queue& queue : aQueues) {
    Json::Value route;
    route["Name"] = queue.mName;
    route["Host"] = kHost;
    route["Prefix"] = queue.mPrefix;
    route["Kind"] = "unsafe";
    route["TimeoutMs"] = 3000;
    route["SloMs"] = Json::Int64{ queue.mSloMs };
    route["Priority"] = 0;
    route["Service"] = kService;
    route["Attempts"] = queue.mAttempts;
    route["Stretch"] = 1.5;
    root["Routes"].append(route);
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
  return FormatJson(root);
}

std::string StateOf(Cell& aCell, std::size_t aFront, const std::string& aPath)
{
  const auto answer = aCell.Ask(aFront, "GET", kHost, aPath);
  if (!answer) {
    return "none";
  }
  return answer->mStatus == 200 ? ParseJson(answer->mBody)["State"].asString()
                                : std::to_string(answer->mStatus);
}

bool Submit(Cell& aCell,
            std::size_t aFront,
            const std::string& aPath,
            const std::string& aBody)
{
  for (std::size_t attempt = 0; attempt < 5; ++attempt) {
    const auto answer = aCell.Ask(
      (aFront + attempt) % aCell.Fronts(), "POST", kHost, aPath, aBody);
    if (answer && answer->mStatus / 100 == 2) {
      return true;
    }
    SleepMs(1000);
  }
  return false;
}

void KillAndRestart(Cell& aCell, std::size_t aFront, Record& aRecord)
{
  const std::string name = "front-" + std::to_string(aFront + 1);
  aRecord.Add("platform: SIGKILL to the process of " + name);
  aCell.Front(aFront).Kill();
  SleepMs(500);
  aRecord.Add("platform: " + name + " starts again");
  aCell.Front(aFront).Start();
}

void RollFronts(Cell& aCell, Record& aRecord)
{
  constexpr long long kGraceMs = 6000;
  constexpr long long kGapMs = 1500;
  for (std::size_t front = 0; front < aCell.Fronts(); ++front) {
    const std::string name = "front-" + std::to_string(front + 1);
    aRecord.Add("platform: SIGTERM to the process of " + name);
    aCell.Front(front).Signal(SIGTERM);
    const long long end = NowMs() + kGraceMs;
    while (aCell.Front(front).Alive() && NowMs() < end) {
      SleepMs(20);
    }
    aCell.Front(front).Kill();
    SleepMs(500);
    aRecord.Add("platform: " + name + " starts again");
    aCell.Front(front).Start();
    SleepMs(kGapMs);
  }
}

bool StandsStill(Cell& aCell,
                 std::size_t aTasks,
                 long long aAcceptedMs,
                 Record& aRecord)
{
  constexpr long long kFinishMs = 14'000;
  constexpr long long kStillMs = 3000;
  SleepMs(aAcceptedMs + kFinishMs - NowMs());
  long long stillSince = NowMs();
  while (aCell.Runs().Done() < aTasks) {
    if (aCell.Runs().Running() > 0) {
      stillSince = NowMs();
    }
    if (NowMs() - stillSince > kStillMs) {
      aRecord.Add("LOST: " + std::to_string(aCell.Runs().Done()) + " of " +
                  std::to_string(aTasks) +
                  " tasks are done, and nothing has run for 3 s");
      return true;
    }
    SleepMs(50);
  }
  return false;
}

int RunCase(
  int aArguments,
  char** aValues,
  const std::function<Verdict(const std::string& aLogs, Record&)>& aBody)
{
  if (aArguments != 2) {
    std::cerr << "usage: " << aValues[0] << " FOLDER\n";
    return static_cast<int>(Verdict::NotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::string logs =
    (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (mkdtemp(logs.data()) == nullptr) {
    return static_cast<int>(Verdict::NotRun);
  }
  Record record(std::string(aValues[1]) + "/record.txt");
  const Verdict verdict = aBody(logs, record);
  Process::KillAll();
  const char* const texts[] = { "held", "BROKEN", "could not run" };
  record.Add(std::string("verdict: ") + texts[static_cast<int>(verdict)]);
  std::cout << texts[static_cast<int>(verdict)] << std::endl;
  if (std::getenv("KEEP_LOGS") != nullptr) {
    std::cout << "logs in " << logs << std::endl;
  } else {
    std::filesystem::remove_all(logs);
  }
  // Threads of connections may still wait for their peers.
  std::_Exit(static_cast<int>(verdict));
}

} // namespace review
