#include "src/core/base/Snapshot.h"

#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

TEST(Snapshot, LoadsTheNewestValueAndKeepsHeldOnes)
{
  Snapshot<int> snapshot(std::make_shared<int>(1));
  const auto held = snapshot.Load();
  snapshot.Publish(std::make_shared<int>(2));
  EXPECT_EQ(*snapshot.Load(), 2);
  EXPECT_EQ(*held, 1);
}

TEST(Snapshot, FreesTheOldValueOnceItIsUnreferenced)
{
  auto first = std::make_shared<int>(1);
  const std::weak_ptr<int> watch = first;
  Snapshot<int> snapshot(std::move(first));
  auto held = snapshot.Load();
  snapshot.Publish(std::make_shared<int>(2));
  snapshot.Load();
  EXPECT_FALSE(watch.expired());
  held.reset();
  EXPECT_TRUE(watch.expired());
}

TEST(Snapshot, KeepsInstancesSeparate)
{
  Snapshot<int> one(std::make_shared<int>(1));
  auto two = std::make_unique<Snapshot<int>>(std::make_shared<int>(2));
  EXPECT_EQ(*one.Load() + *two->Load(), 3);
  two = std::make_unique<Snapshot<int>>(std::make_shared<int>(4));
  EXPECT_EQ(*one.Load() + *two->Load(), 5);
}

TEST(Snapshot, NeverLoadsAnOlderValueInAnyThread)
{
  constexpr int kLast = 20'000;
  Snapshot<int> snapshot(std::make_shared<int>(0));
  std::atomic<int> stepsBack{ 0 };
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      for (int newest = 0; newest < kLast;) {
        const int next = *snapshot.Load();
        stepsBack += next < newest ? 1 : 0;
        newest = next;
      }
    });
  }
  for (int i = 1; i <= kLast; ++i) {
    snapshot.Publish(std::make_shared<int>(i));
  }
  for (std::thread& reader : readers) {
    reader.join();
  }
  EXPECT_EQ(stepsBack, 0);
}

} // namespace
} // namespace foxtailbarrow
