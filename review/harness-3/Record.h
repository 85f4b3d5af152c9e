#pragma once

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

/// Milliseconds since the start of the program.
inline long long NowMs()
{
  static const auto sStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - sStart)
    .count();
}

/// The file record.txt: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
  {
  }
  ~Record()
  {
    if (mFile != nullptr) {
      std::fclose(mFile);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Add(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    if (mFile != nullptr) {
      const long long now = NowMs();
      std::fprintf(
        mFile, "%4lld.%03lld  %s\n", now / 1000, now % 1000, aLine.c_str());
      std::fflush(mFile);
    }
  }

private:
  std::mutex mMutex;
  std::FILE* mFile;
};

} // namespace review
