#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include "Record.h"
#include "Runner.h"
#include "Store.h"

namespace review {

/// A process of the project, started with the command of the deploy file.
class Process
{
public:
  Process(std::string aProgram,
          std::map<std::string, std::string> aEnvironment,
          std::string aLog);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Signal(int aSignal) const;
  /// Waits until it has ended; kills it after this time.
  void AwaitEnd(int aTimeoutMs);
  bool Ended();
  /// Resident memory in MB; 0 when it does not run.
  std::int64_t MemoryMb() const;

private:
  std::string mProgram;
  std::map<std::string, std::string> mEnvironment;
  std::string mLog;
  pid_t mId = -1;
};

struct SchedulerAddresses
{
  std::uint16_t mFront = 0;
  std::uint16_t mReady = 0;
  std::uint16_t mPeers = 0;
  std::uint16_t mControl = 0;
};

/// A small deployment: a store, schedulers, and agents with their runners.
class Cell
{
public:
  /// One runner for each kind that is named.
  Cell(Record& aRecord,
       const std::string& aFolder,
       int aSchedulers,
       const std::vector<std::string>& aKinds,
       std::int64_t aCpu = 8000,
       std::int64_t aMemMb = 16000);
  ~Cell();

  Store& PlatformStore() { return *mStore; }
  RunLog& Runs() { return mRuns; }
  Record& Log() { return mRecord; }
  Process& Scheduler(std::size_t aIndex) { return *mSchedulers[aIndex]; }
  Process& Agent(std::size_t aIndex) { return *mAgents[aIndex]; }
  Runner& RunnerAt(std::size_t aIndex) { return *mRunners[aIndex]; }
  std::size_t Runners() const { return mRunners.size(); }
  /// The runner crashes, and comes back with a new id after so long.
  void CrashRunner(std::size_t aIndex, double aSeconds);
  std::size_t Schedulers() const { return mSchedulers.size(); }

  /// Writes a configuration with these queues (/NAME/).
  void Configure(std::int64_t aVersion,
                 const std::vector<std::string>& aQueues);

  /// From now on, as the platform does: a scheduler that uses more memory than
  /// this is killed, and is started again after a short delay.
  void EnforceMemory(std::int64_t aMemoryMb);
  /// How often each scheduler was killed for that.
  std::vector<int> MemoryKills() const;

  /// Waits until every scheduler is ready. Returns false after a while.
  bool AwaitReady();
  bool Ready(std::size_t aScheduler);

  /// Index of the scheduler that owns the cell, by the store's record.
  std::size_t Owner();

  /// A client's request; -1 when there is no answer.
  int Ask(const std::string& aMethod,
          const std::string& aTarget,
          const std::string& aBody = "",
          std::string* aAnswer = nullptr,
          std::size_t aScheduler = 0,
          int aTimeoutMs = 3000);

  /// Submits a job until it is accepted. Returns false if it never was.
  bool Submit(const std::string& aTarget, const std::string& aBody);

private:
  Record& mRecord;
  RunLog mRuns;
  std::uint16_t mStorePort = 0;
  std::unique_ptr<Store> mStore;
  std::vector<SchedulerAddresses> mAddresses;
  std::vector<std::unique_ptr<Process>> mSchedulers;
  std::vector<std::unique_ptr<Process>> mAgents;
  std::vector<std::unique_ptr<Runner>> mRunners;
  mutable std::mutex mKillsMutex;
  std::vector<int> mMemoryKills;
  std::atomic<bool> mStopping{ false };
  std::thread mMemoryGuard;
};

void Sleep(double aSeconds);

inline const std::string kHost = "jobs.example";
inline const std::string kService = "svc-a";

} // namespace review
