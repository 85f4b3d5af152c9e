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

/// Writes lines to a file descriptor from a separate thread, so that a reader
/// that stops reading never stalls the process. Lines are queued in a bounded
/// buffer; lines that do not fit are dropped and counted, and a log line
/// reports their number once the buffer has space again.
class BoundedOutput
{
public:
  static constexpr std::size_t kMaxBytes = 512UL * 1024;

  explicit BoundedOutput(int aDescriptor, std::size_t aMaxBytes = kMaxBytes);
  /// Flushes the buffer, for a bounded time.
  ~BoundedOutput();

  BoundedOutput(const BoundedOutput&) = delete;
  BoundedOutput& operator=(const BoundedOutput&) = delete;

  /// Queues one line, which includes its line break. Never blocks on the
  /// reader. Callable from any thread.
  void Write(std::string_view aLine);

  /// Waits, for a bounded time, until all queued lines are written.
  void Flush();

  std::uint64_t Dropped() const { return mDropped.load(); }

private:
  void Run();

  const int mDescriptor;
  const std::size_t mMaxBytes;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::string mWaiting;
  std::uint64_t mUnreportedDrops = 0; ///< Dropped since the last report.
  std::atomic<std::uint64_t> mDropped{ 0 };
  bool mEnding = false;
  bool mWriting = false;
  std::atomic<bool> mEnded{ false };
  std::thread mThread;
};

} // namespace foxtailbarrow
