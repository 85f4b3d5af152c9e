#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Http.h"
#include "Record.h"
#include "Runner.h"
#include "Store.h"

namespace review {

/// A program of the deploy file as a process.
class Process
{
public:
  Process(std::string aProgram,
          std::map<std::string, std::string> aEnvironment,
          std::string aLog);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Signal(int aSignal) const;
  /// Ends the process and waits for it.
  void Kill();
  /// Ends all processes that were started.
  static void KillAll();
  bool Alive();

private:
  std::string mProgram;
  std::map<std::string, std::string> mEnvironment;
  std::string mLog;
  pid_t mPid = -1;
};

/// A small deployment on loopback addresses: front machines with schedulers,
/// side machines with task agents and runners, and the platform's store. It is
/// never destroyed, as threads of connections use it to the end.
class Cell
{
public:
  struct Settings
  {
    int mFronts = 3;
    int mSides = 4;
    std::string mFolder; ///< For the processes' logs.
    /// Racks of the last runners; the others have names such as "r1-1".
    std::vector<std::string> mRacks{};
    int mStopMs = 200;
  };

  static Cell& Make(const Settings& aSettings,
                    Record& aRecord,
                    Pool::Planner aPlanner)
  {
    return *new Cell(aSettings, aRecord, std::move(aPlanner));
  }

  /// Waits until every scheduler is ready and every worker can be used, so far
  /// as that is known. Writes the configuration first.
  bool Begin(const std::string& aConfiguration);

  /// A client's request to one front machine; nullopt without an answer.
  std::optional<Response> Ask(std::size_t aFront,
                              const std::string& aMethod,
                              const std::string& aHost,
                              const std::string& aPath,
                              const std::string& aBody = {},
                              int aTimeoutMs = 3000);

  /// The front machine whose scheduler owns the cell, by the platform's store.
  std::optional<std::size_t> Leader();

  Process& Front(std::size_t aIndex) { return *mFronts.at(aIndex); }
  Process& Side(std::size_t aIndex) { return *mSides.at(aIndex); }
  std::size_t Fronts() const { return mFronts.size(); }
  Runner& RunnerAt(std::size_t aIndex) { return *mRunners.at(aIndex); }
  std::size_t Runners() const { return mRunners.size(); }
  Pool& Runs() { return mPool; }
  Store& Platform() { return *mStore; }
  bool Ready() const { return mReady; }

private:
  Cell(const Settings& aSettings, Record& aRecord, Pool::Planner aPlanner);

  std::string Ip(int aMachine) const;

  Record& mRecord;
  std::string mFolder;
  std::string mNet; ///< The first three numbers of all addresses.
  Pool mPool;
  std::unique_ptr<Store> mStore;
  std::vector<std::unique_ptr<Runner>> mRunners;
  std::vector<std::unique_ptr<Process>> mFronts;
  std::vector<std::unique_ptr<Process>> mSides;
  std::vector<std::string> mFrontIds;
  bool mReady = false;
};

/// False with TROUBLE=0.
bool WithTrouble();

void SleepMs(long long aMs);

} // namespace review
