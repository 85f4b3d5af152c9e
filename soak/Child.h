#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace foxtailbarrow::soak {

/// One program of the system under test, as a process of its own that is
/// started and ended again and again. Its output is appended to a file.
class Child
{
public:
  Child(std::vector<std::string> aCommand, std::string aLogFile);
  ~Child(); ///< Kills it.

  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// Starts it unless it runs.
  void Start();
  /// Sends a signal; nothing when it does not run.
  void Signal(int aSignal);
  /// Kills it and waits for its end.
  void Kill();
  /// False once it has ended, by itself or by a signal.
  bool Running();

private:
  std::vector<std::string> mCommand;
  std::string mLogFile;
  pid_t mPid = 0; ///< 0 = none.
};

} // namespace foxtailbarrow::soak
