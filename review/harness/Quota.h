#pragma once

#include <atomic>
#include <csignal>
#include <ctime>
#include <thread>

#include "Base.h"

namespace review {

/// Holds a process to a share of one core, as the machines of the deployment
/// do (`CpuQuota`): once it has used up its time of a period, it is stopped
/// until the period ends.
class Quota
{
public:
  Quota(pid_t aProcess, double aShare)
    : mProcess(aProcess)
    , mShare(aShare)
    , mThread([this] { Run(); })
  {
  }

  /// Before the process is reaped, since its id may be used again.
  ~Quota()
  {
    mEnds = true;
    mThread.join();
  }

private:
  std::chrono::nanoseconds Used() const
  {
    timespec time{};
    clockid_t clock{};
    if (clock_getcpuclockid(mProcess, &clock) == 0) {
      clock_gettime(clock, &time);
    }
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  }

  void Run()
  {
    constexpr Ms kPeriod(100);
    const auto allowed = std::chrono::duration_cast<std::chrono::nanoseconds>(
      mShare * std::chrono::duration<double>(kPeriod));
    TimePoint end = Now() + kPeriod;
    std::chrono::nanoseconds begin = Used();
    bool stopped = false;
    while (!mEnds) {
      std::this_thread::sleep_for(Ms(1));
      if (Now() >= end) {
        end += kPeriod;
        // What was used beyond the share is taken off the next period.
        begin = std::min(begin + allowed, Used());
        if (stopped && Used() - begin < allowed) {
          kill(mProcess, SIGCONT);
          stopped = false;
        }
      } else if (!stopped && Used() - begin >= allowed) {
        kill(mProcess, SIGSTOP);
        stopped = true;
      }
    }
  }

  pid_t mProcess;
  double mShare;
  std::atomic<bool> mEnds{ false };
  std::thread mThread;
};

} // namespace review
