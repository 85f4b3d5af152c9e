#include "apps/entry/RunOn.h"

#include <atomic>
#include <string>

#include <gtest/gtest.h>

namespace foxtailbarrow::entry {
namespace {

TEST(RunOn, SurvivesCallersThatResumeAtOnce)
{
  constexpr int kFibers = 64;
  constexpr int kCalls = 500;
  net::FiberRuntime other(1);
  net::FiberRuntime callers(4);
  std::atomic<int> done = 0;
  std::atomic<int> correct = 0;
  for (int fiber = 0; fiber < kFibers; ++fiber) {
    callers.Spawn([&] {
      for (int call = 0; call < kCalls; ++call) {
        const std::string text =
          RunOn(other, [&] { return std::to_string(call); });
        correct += text == std::to_string(call) ? 1 : 0;
      }
      done += 1;
      done.notify_all();
    });
  }
  for (int seen = done; seen != kFibers; seen = done) {
    done.wait(seen);
  }
  EXPECT_EQ(correct, kFibers * kCalls);
}

} // namespace
} // namespace foxtailbarrow::entry
