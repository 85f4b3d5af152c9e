#include "src/telemetry/BoundedOutput.h"

#include <cerrno>
#include <chrono>

#include <unistd.h>

namespace foxtailbarrow {

namespace {

/// Lines of this period are written together, so that a burst takes one wake-up
/// and one system call instead of one per line.
constexpr std::chrono::milliseconds kFlushDelay(20);
/// How long the destructor and Flush() wait for the reader.
constexpr std::chrono::milliseconds kFlushTimeout(200);
constexpr std::chrono::milliseconds kFlushPollInterval(2);

void WriteAll(int aDescriptor, std::string_view aText)
{
  while (!aText.empty()) {
    const ssize_t written = ::write(aDescriptor, aText.data(), aText.size());
    if (written > 0) {
      aText.remove_prefix(static_cast<std::size_t>(written));
    } else if (errno != EINTR) {
      return; // The reader has closed the descriptor: nothing left to do.
    }
  }
}

} // namespace

BoundedOutput::BoundedOutput(int aDescriptor, std::size_t aMaxBytes)
  : mDescriptor(aDescriptor)
  , mMaxBytes(aMaxBytes)
  , mThread([this] { Run(); })
{
}

BoundedOutput::~BoundedOutput()
{
  {
    const std::lock_guard lock(mMutex);
    mEnding = true;
  }
  mChanged.notify_one();
  const auto end = std::chrono::steady_clock::now() + kFlushTimeout;
  while (!mEnded && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kFlushPollInterval);
  }
  if (mEnded) {
    mThread.join();
    return;
  }
  // The thread is blocked on the reader. Its object is only destroyed at the
  // end of the process, see Log.cpp, which also ends the thread.
  mThread.detach();
}

void BoundedOutput::Write(std::string_view aLine)
{
  bool first = false;
  {
    const std::lock_guard lock(mMutex);
    if (mWaiting.size() + aLine.size() > mMaxBytes) {
      ++mUnreportedDrops;
      mDropped.fetch_add(1);
      return;
    }
    first = mWaiting.empty();
    mWaiting.append(aLine);
  }
  if (first) {
    mChanged.notify_one();
  }
}

void BoundedOutput::Flush()
{
  const auto end = std::chrono::steady_clock::now() + kFlushTimeout;
  while (std::chrono::steady_clock::now() < end) {
    {
      const std::lock_guard lock(mMutex);
      if (mWaiting.empty() && !mWriting) {
        return;
      }
    }
    std::this_thread::sleep_for(kFlushPollInterval);
  }
}

void BoundedOutput::Run()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    mChanged.wait(lock, [this] { return mEnding || !mWaiting.empty(); });
    if (!mEnding) {
      mChanged.wait_for(lock, kFlushDelay, [this] { return mEnding; });
    }
    std::string text;
    text.swap(mWaiting);
    if (mUnreportedDrops > 0) {
      text += "level=WARN event=log-lines-dropped count=" +
              std::to_string(mUnreportedDrops) + "\n";
      mUnreportedDrops = 0;
    }
    const bool last = mEnding;
    mWriting = true;
    lock.unlock();
    WriteAll(mDescriptor, text);
    lock.lock();
    mWriting = false;
    if (last) {
      break;
    }
  }
  mEnded = true;
}

} // namespace foxtailbarrow
