#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace foxtailbarrow {

/// Writes lines to a file descriptor from a thread of its own, so that a reader
/// that stops reading never stalls the process: lines wait in a buffer of
/// bounded size, and what does not fit is dropped and counted. A line of its
/// own tells how many were dropped once there is room again.
class BoundedOutput
{
public:
  static constexpr std::size_t kMaxBytes = 512UL * 1024;

  explicit BoundedOutput(int aDescriptor, std::size_t aMaxBytes = kMaxBytes);
  /// Writes what waits, for a bounded time.
  ~BoundedOutput();

  BoundedOutput(const BoundedOutput&) = delete;
  BoundedOutput& operator=(const BoundedOutput&) = delete;

  /// Takes one line with its line break. Never blocks on the reader. Callable
  /// from any thread.
  void Write(std::string_view aLine);

  /// Waits, for a bounded time, until the lines so far are written.
  void Flush();

  std::uint64_t Dropped() const { return mDropped.load(); }

private:
  void Run();

  const int mDescriptor;
  const std::size_t mMaxBytes;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::string mWaiting;
  std::uint64_t mUnreportedDrops = 0; ///< Dropped since the last line about it.
  std::atomic<std::uint64_t> mDropped{ 0 };
  bool mEnding = false;
  bool mWriting = false;
  std::atomic<bool> mEnded{ false };
  std::thread mThread;
};

} // namespace foxtailbarrow
