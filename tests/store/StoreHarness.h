#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include <boost/fiber/operations.hpp>

#include "foxtailbarrow/Store.h"
#include "src/platform/store/MemoryStore.h"

namespace foxtailbarrow {

/// A store under test with its fault injection and its clock.
class StoreHarness
{
public:
  virtual ~StoreHarness() = default;

  virtual Store& Client() = 0;

  /// Runs the body of a test in a context from which the client may be called.
  virtual void Run(const std::function<void()>& aBody) = 0;

  /// Runs another body concurrently; joined at the end of the test.
  virtual void RunConcurrently(std::function<void()> aBody) = 0;

  void SetFaults(const StoreFaults& aFaults) { mBackend.SetFaults(aFaults); }
  void Advance(Duration aSpan) { mSkipped += aSpan.count(); }
  std::uint64_t Calls(StoreCall aCall) const
  {
    return mBackend.Counts().Count(aCall);
  }

protected:
  std::atomic<Duration::rep> mSkipped = 0;
  MemoryStore mBackend{ [this] {
    return MonotonicNow() + Duration(mSkipped);
  } };
};

/// Waits until `aCondition` holds; false after 20 seconds.
inline bool Eventually(const std::function<bool()>& aCondition)
{
  const Instant end = MonotonicNow() + std::chrono::seconds(20);
  while (!aCondition() && MonotonicNow() < end) {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
  }
  return MonotonicNow() < end;
}

using HarnessFactory = std::unique_ptr<StoreHarness> (*)();

std::unique_ptr<StoreHarness> MakeMemoryHarness();
std::unique_ptr<StoreHarness> MakeEtcdHarness();

} // namespace foxtailbarrow
