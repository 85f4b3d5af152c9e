#pragma once

#include <chrono>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace review {

/// Writes what was sent, answered and run, with seconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }

  double Now() const
  {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         mStart)
      .count();
  }

  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", Now());
    mFile << time << aLine << std::endl;
    std::cout << time << aLine << std::endl;
  }

private:
  std::chrono::steady_clock::time_point mStart =
    std::chrono::steady_clock::now();
  std::mutex mMutex;
  std::ofstream mFile;
};

} // namespace review
