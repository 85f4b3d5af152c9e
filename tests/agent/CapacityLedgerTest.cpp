#include "src/core/agent/CapacityLedger.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailbarrow {
namespace {

const CustomerId kCustomer("trasowka");

/// The share that applies when the ledger has no contract of the customer.
constexpr double kDefaultShare = 0.1;

TaskKey Key(std::uint64_t aNumber)
{
  return { JobId("job" + std::to_string(aNumber)), 1 };
}

Contract ContractOf(const CustomerId& aCustomer,
                    double aShare,
                    Revision aRevision)
{
  Contract contract;
  contract.mCustomer = aCustomer;
  contract.mBatch.mSharePerWorker = aShare;
  contract.mRevision = aRevision;
  return contract;
}

WorkerView ViewOf(Resources aCapacity, std::vector<TaskStatus> aTasks = {})
{
  WorkerView view;
  view.mCapacity = aCapacity;
  view.mTasks = std::move(aTasks);
  return view;
}

TaskStatus Running(std::uint64_t aNumber, Resources aAmount)
{
  TaskStatus status;
  status.mKey = Key(aNumber);
  status.mCustomer = kCustomer;
  status.mReserved = aAmount;
  return status;
}

/// A worker with 10 cores, 1000 MiB and 2 accelerators. The service reserves
/// 2 cores and 100 MiB; the customer may use half of the processors.
CapacityLedger MakeLedger()
{
  CapacityLedger ledger({ 2'000, 100, 0 });
  ledger.Rebuild(ViewOf({ 10'000, 1'000, 2 }));
  ledger.ApplyContract(ContractOf(kCustomer, 0.5, 1));
  return ledger;
}

struct RefusalCase
{
  const char* mName;
  CustomerId mCustomer;
  Resources mAmount;
  Reason mExpected;
};

class LedgerRefusal : public testing::TestWithParam<RefusalCase>
{};

TEST_P(LedgerRefusal, ReturnsTheReasonAndReservesNothing)
{
  CapacityLedger ledger = MakeLedger();
  const Resources before = ledger.Free();
  EXPECT_EQ(ledger.Reserve(
              Key(1), GetParam().mCustomer, GetParam().mAmount, kDefaultShare),
            GetParam().mExpected);
  if (GetParam().mExpected != Reason::None) {
    EXPECT_EQ(ledger.Free(), before);
  }
}

INSTANTIATE_TEST_SUITE_P(
  All,
  LedgerRefusal,
  testing::Values(
    RefusalCase{ "fits", kCustomer, { 5'000, 900, 2 }, Reason::None },
    RefusalCase{ "share", kCustomer, { 5'001, 1, 0 }, Reason::WaitingForQuota },
    RefusalCase{ "memory", kCustomer, { 1, 901, 0 }, Reason::CapacityTaken },
    RefusalCase{ "accelerators",
                 kCustomer,
                 { 1, 1, 3 },
                 Reason::CapacityTaken },
    RefusalCase{ "ownersShare",
                 CustomerId("x"),
                 { 1'001, 1, 0 },
                 Reason::WaitingForQuota },
    RefusalCase{ "withinOwnersShare",
                 CustomerId("x"),
                 { 1'000, 1, 0 },
                 Reason::None },
    RefusalCase{ "negative",
                 kCustomer,
                 { -1, 1, 0 },
                 Reason::WaitingForCapacity },
    RefusalCase{ "huge",
                 kCustomer,
                 { 1, std::int64_t{ 1 } << 62, 0 },
                 Reason::CapacityTaken }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

TEST(CapacityLedger, GrantsNothingBeforeTheFirstView)
{
  CapacityLedger ledger({});
  ledger.ApplyContract(ContractOf(kCustomer, 1.0, 1));
  EXPECT_EQ(ledger.Reserve(Key(1), kCustomer, {}, 1.0),
            Reason::WaitingForCapacity);
}

TEST(CapacityLedger, CountsTasksThatRanBeforeARestart)
{
  CapacityLedger ledger({});
  ledger.ApplyContract(ContractOf(kCustomer, 1.0, 1));
  ledger.Rebuild(ViewOf({ 10, 10, 0 }, { Running(1, { 8, 8, 0 }) }));
  EXPECT_EQ(ledger.Reserve(Key(2), kCustomer, { 3, 1, 0 }, 1.0),
            Reason::WaitingForQuota);
  ledger.Release(Key(1));
  EXPECT_EQ(ledger.Reserve(Key(2), kCustomer, { 3, 1, 0 }, 1.0), Reason::None);
}

TEST(CapacityLedger, ToleratesAWorkerThatRunsMoreThanItsCapacity)
{
  CapacityLedger ledger({});
  ledger.ApplyContract(ContractOf(kCustomer, 1.0, 1));
  ledger.Rebuild(ViewOf({ 10, 10, 0 }, { Running(1, { 50, 50, 5 }) }));
  EXPECT_EQ(ledger.Free(), Resources{});
  EXPECT_NE(ledger.Reserve(Key(2), kCustomer, { 1, 1, 0 }, 1.0), Reason::None);
}

TEST(CapacityLedger, IgnoresAnOlderContract)
{
  CapacityLedger ledger = MakeLedger();
  ledger.ApplyContract(ContractOf(kCustomer, 0.1, 5));
  ledger.ApplyContract(ContractOf(kCustomer, 1.0, 4));
  EXPECT_EQ(ledger.Check(kCustomer, { 1'001, 1, 0 }, 1.0),
            Reason::WaitingForQuota);
}

RC_GTEST_PROP(CapacityLedger, NeverExceedsTheCapacity, ())
{
  const Resources capacity{ 1'000, 1'000, 4 };
  CapacityLedger ledger({ 100, 100, 0 });
  ledger.ApplyContract(ContractOf(kCustomer, 0.6, 1));
  ledger.Rebuild(ViewOf(capacity));
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
    rc::gen::arbitrary<std::uint32_t>());
  for (const std::uint32_t step : steps) {
    const TaskKey key = Key(step % 16);
    if ((step & 0x10000) != 0) {
      ledger.Release(key);
    } else {
      ledger.Reserve(key,
                     kCustomer,
                     { step >> 8 & 0xff, step >> 16 & 0xff, step >> 4 & 1 },
                     1.0);
    }
    RC_ASSERT(ledger.Reserved().FitsIn(capacity));
    RC_ASSERT(ledger.ReservedBy(kCustomer).mMillicores <= 600);
    RC_ASSERT(ledger.Free() + ledger.Reserved() == capacity);
  }
}

} // namespace
} // namespace foxtailbarrow
