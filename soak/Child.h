#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace foxtailbarrow::soak {

/// A program of the system under test as a child process that can be started
/// and killed repeatedly. Its output is appended to a log file.
class Child
{
public:
  Child(std::vector<std::string> aCommand, std::string aLogFile);
  ~Child(); ///< Kills the process.

  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// Starts the process unless it is running.
  void Start();
  /// Sends a signal; no effect when the process is not running.
  void Signal(int aSignal);
  /// Kills the process and waits for its exit.
  void Kill();
  /// False once the process has exited or was killed by a signal.
  bool Running();
  /// Process id; 0 when the process is not running.
  pid_t Id();

private:
  std::vector<std::string> mCommand;
  std::string mLogFile;
  pid_t mPid = 0; ///< 0 = none.
};

} // namespace foxtailbarrow::soak
