#include <cstdint>
#include <string>

#include <boost/fiber/operations.hpp>
#include <gtest/gtest.h>

#include "apps/scheduler/StoreProbe.h"
#include "src/net/FiberRuntime.h"
#include "src/platform/store/CountingStore.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/scheduler/SilentStore.h"

namespace foxtailbarrow::scheduler::test {

namespace {

using std::chrono::milliseconds;

enum class Before : std::uint8_t
{
  Served,
  ServedNow, ///< Just before the probe.
  Refused,
  Silent,
};

struct ProbeCase
{
  const char* mName;
  Before mBefore;
  std::uint64_t mSerializable;
  std::uint64_t mLinearizable;
};

class StoreProbeTest : public testing::TestWithParam<ProbeCase>
{};

/// A serializable read may be served by a store that serves nothing else: after
/// a refusal or a silence it would hide that the outage goes on.
TEST_P(StoreProbeTest, ReadsWhatTheStoresStateNeeds)
{
  net::FiberRuntime runtime(1);
  MemoryStore memory;
  SilentStore silent(memory);
  CountingStore counting(silent);
  HealthTrackingStore store(counting);
  StoreProbe probe(store);
  runtime.RunAndWait([&] {
    EXPECT_TRUE(absl::IsNotFound(store.Read("key").status()));
    if (GetParam().mBefore == Before::Refused) {
      StoreFaults faults;
      faults.mOutage = true;
      memory.SetFaults(faults);
      EXPECT_TRUE(absl::IsUnavailable(store.Read("key").status()));
    } else if (GetParam().mBefore == Before::Silent) {
      silent.mSilent = true;
      runtime.Spawn([&] { (void)store.Read("key"); });
    }
    boost::this_fiber::sleep_for(milliseconds(500));
    if (GetParam().mBefore == Before::ServedNow) {
      EXPECT_TRUE(absl::IsNotFound(store.Read("key").status()));
    }
    EXPECT_EQ(store.Answers(), GetParam().mBefore != Before::Silent);
    const std::uint64_t linearizable = counting.Counts().Count(StoreCall::Read);
    runtime.Spawn([&] { probe.Round(); });
    boost::this_fiber::sleep_for(milliseconds(20));
    EXPECT_EQ(counting.Counts().Count(StoreCall::ReadSerializable),
              GetParam().mSerializable);
    EXPECT_EQ(counting.Counts().Count(StoreCall::Read) - linearizable,
              GetParam().mLinearizable);
    silent.mSilent = false;
    boost::this_fiber::sleep_for(milliseconds(20));
  });
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  StoreProbeTest,
  testing::Values(ProbeCase{ "Served", Before::Served, 1, 0 },
                  ProbeCase{ "ServedNow", Before::ServedNow, 0, 0 },
                  ProbeCase{ "Refused", Before::Refused, 0, 1 },
                  ProbeCase{ "Silent", Before::Silent, 0, 1 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::scheduler::test
