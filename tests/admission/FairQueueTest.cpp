#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/admission/FairQueue.h"
#include "src/core/admission/FifoQueue.h"

namespace foxtailbarrow {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart{ std::chrono::seconds(1000) };

QueuedRequest Request(std::uint64_t aHandle, const char* aCustomer)
{
  QueuedRequest request;
  request.mHandle = aHandle;
  request.mCustomer = CustomerId(aCustomer);
  return request;
}

template<typename Queue>
class AnyQueue : public testing::Test
{
};
using Queues = testing::Types<FairQueue, FifoQueue>;
TYPED_TEST_SUITE(AnyQueue, Queues);

TYPED_TEST(AnyQueue, AnswersEveryRequestExactlyOnceAndStaysBounded)
{
  EXPECT_TRUE(rc::check([] {
    TypeParam queue({ 8 });
    Instant now = kStart;
    std::map<std::uint64_t, int> answers;
    std::map<std::uint64_t, Instant> deadlines;
    const auto count = [&](const std::vector<QueueRefusal>& aRefusals) {
      for (const QueueRefusal& refusal : aRefusals) {
        ++answers[refusal.mHandle];
        RC_ASSERT(refusal.mRefuse.mRetryAfter.count() > 0);
      }
    };
    const auto steps =
      *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 12));
    std::uint64_t handle = 0;
    for (const int step : steps) {
      now += Duration(*rc::gen::inRange(0, 2000));
      if (step < 8) {
        QueuedRequest request = Request(++handle, step < 5 ? "flood" : "calm");
        request.mWeight = step % 3 + 1;
        request.mBatch = step == 7;
        request.mDeadline = now + milliseconds(*rc::gen::inRange(0, 30));
        deadlines[handle] = request.mDeadline;
        answers[handle] = 0;
        count(queue.Offer(now, request));
      } else if (step < 11) {
        const QueuePop pop = queue.Pop(now);
        count(pop.mRefused);
        if (pop.mNext) {
          ++answers[pop.mNext->mHandle];
          RC_ASSERT(now < deadlines[pop.mNext->mHandle]);
        }
      } else {
        count(queue.Sweep(now));
      }
      RC_ASSERT(queue.Size() <= 8u);
    }
    std::size_t unanswered = 0;
    for (const auto& [name, times] : answers) {
      RC_ASSERT(times <= 1);
      unanswered += times == 0 ? 1 : 0;
    }
    RC_ASSERT(unanswered == queue.Size());
  }));
}

TEST(FairQueue, ServesCustomersByWeightWhateverTheirLoad)
{
  FairQueue queue({ 2000 });
  for (std::uint64_t i = 0; i < 1000; ++i) {
    queue.Offer(kStart, Request(i, "flood"));
  }
  for (std::uint64_t i = 0; i < 100; ++i) {
    QueuedRequest request = Request(1000 + i, "calm");
    request.mWeight = 3;
    queue.Offer(kStart, request);
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 120; ++i) {
    ++served[queue.Pop(kStart).mNext->mCustomer.Value()];
  }
  EXPECT_EQ(served["flood"], 30);
  EXPECT_EQ(served["calm"], 90);
}

TEST(FairQueue, ServesBatchLast)
{
  FairQueue queue({ 10 });
  QueuedRequest batch = Request(1, "a");
  batch.mBatch = true;
  queue.Offer(kStart, batch);
  queue.Offer(kStart, Request(2, "b"));
  EXPECT_EQ(queue.Pop(kStart).mNext->mHandle, 2u);
  EXPECT_EQ(queue.Pop(kStart).mNext->mHandle, 1u);
}

TEST(FairQueue, EvictsFromTheCustomerOverItsShare)
{
  FairQueue queue({ 4 });
  for (std::uint64_t i = 1; i <= 4; ++i) {
    EXPECT_TRUE(queue.Offer(kStart, Request(i, "flood")).empty());
  }
  const auto refused = queue.Offer(kStart, Request(5, "calm"));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].mHandle, 4u);
  EXPECT_EQ(queue.Offer(kStart, Request(6, "flood")).at(0).mHandle, 6u);
}

TEST(FairQueue, RefusesOnArrivalWhatCannotStartInTime)
{
  FairQueue queue({ 1000 });
  for (std::uint64_t i = 1; i <= 100; ++i) {
    queue.Offer(kStart, Request(i, "a"));
  }
  QueuedRequest urgent = Request(101, "a");
  urgent.mDeadline = kStart + milliseconds(50);
  const auto refused = queue.Offer(kStart, urgent);
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].mRefuse.mReason, Reason::DeadlineTooShort);
  EXPECT_EQ(refused[0].mRefuse.mRetryAfter, milliseconds(101));
}

TEST(FairQueue, SweepsRequestsThatBecomeLate)
{
  FairQueue queue({ 1000 });
  for (std::uint64_t i = 1; i <= 500; ++i) {
    QueuedRequest request = Request(i, "a");
    request.mDeadline = kStart + milliseconds(800);
    ASSERT_TRUE(queue.Offer(kStart, request).empty());
  }
  EXPECT_TRUE(queue.Sweep(kStart).empty());
  Instant now = kStart;
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(10); // ten times slower than the default interval
    queue.Pop(now);
  }
  const std::size_t before = queue.Size();
  const std::size_t swept = queue.Sweep(now).size();
  EXPECT_GT(swept, 300u);
  EXPECT_EQ(queue.Size(), before - swept);
}

} // namespace
} // namespace foxtailbarrow
