#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Cell.h"

namespace review {

/// How a case ended; the exit code of its program.
enum class Verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

/// A queue in the operator's configuration.
struct Queue
{
  std::string mName;
  std::string mPrefix;
  int mAttempts = 3;
  long long mSloMs = 250;
};

inline constexpr char kHost[] = "nony24.example";
/// Name of the only service.
inline constexpr char kService[] = "huvo11a";

/// The text of op/config.
std::string Configuration(int aVersion, const std::vector<Queue>& aQueues);

/// What GET says of a job: "completed", "410", "none" and so on.
std::string StateOf(Cell& aCell, std::size_t aFront, const std::string& aPath);

/// Hands a job in as a client does, at other nodes and after a while where the
/// answer asks for it. True once it is accepted.
bool Submit(Cell& aCell,
            std::size_t aFront,
            const std::string& aPath,
            const std::string& aBody);

/// Kills the process of a front machine; it is started again half a second
/// later, as the platform does it.
void KillAndRestart(Cell& aCell, std::size_t aFront, Record& aRecord);

/// Ends the processes of all front machines by SIGTERM, one after the other,
/// and starts each again half a second after it has ended, at the latest 6 s
/// (GraceS) after the signal.
void RollFronts(Cell& aCell, Record& aRecord);

/// The rule LOST for a job of `aTasks` tasks that was accepted at
/// `aAcceptedMs`: waits for finish_s, and returns true if nothing of it runs
/// for 3 s after that, though tasks are left and nearly all capacity is free.
/// Call it only where the next tasks' turn has come.
bool StandsStill(Cell& aCell,
                 std::size_t aTasks,
                 long long aAcceptedMs,
                 Record& aRecord);

/// Runs a case in the folder that the program's argument names.
int RunCase(
  int aArguments,
  char** aValues,
  const std::function<Verdict(const std::string& aLogs, Record&)>& aBody);

} // namespace review
