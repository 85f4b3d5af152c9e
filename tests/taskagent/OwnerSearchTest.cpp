#include "src/core/cell/records/CellRecords.h"
#include "src/core/message/Codec.h"
#include "standins/kv/KvService.h"
#include "tests/taskagent/TaskAgentFixture.h"

namespace foxtailbarrow::taskagent::test {

namespace {

using std::chrono::seconds;

/// The target size: agents, and reads that the store accepts a second.
constexpr double kAgents = 6100;
constexpr double kReadsPerSecond = 16'000;
constexpr Duration kMeasured = seconds(6);

class OwnerSearchTest : public TaskAgentTest
{};

/// All agents of a cell search for its next owner at the same time. With a read
/// each 150 ms they asked more of the store than it accepts, so that the next
/// owner was refused as well.
TEST_F(OwnerSearchTest, AsksLittleOfTheStore)
{
  auto store = standin::KvService::Start(mTestRuntime, mSettings.mStore, 1);
  ASSERT_TRUE(store.ok());
  const cell::OwnerRecord ended{ EntryId("owner"), { "127.0.0.1", 1 }, 4, 1 };
  std::uint64_t before = 0;
  std::uint64_t calls = 0;
  std::uint64_t serializable = 0;
  mTestRuntime.RunAndWait([&] {
    (*store)->Put(std::string(cell::kOwnerKey), ToJsonText(ended));
    ASSERT_TRUE(Await([&] { return (*store)->Calls() > 3; }));
    boost::this_fiber::sleep_for(seconds(2));
    before = (*store)->Calls();
    boost::this_fiber::sleep_for(kMeasured);
    calls = (*store)->Calls();
    serializable = (*store)->SerializableReads();
  });
  EXPECT_GT(calls, before);
  EXPECT_EQ(calls, serializable);
  const double perSecond = static_cast<double>(calls - before) /
                           std::chrono::duration<double>(kMeasured).count();
  RecordProperty("callsPerSecond", std::to_string(perSecond));
  EXPECT_LE(perSecond, kReadsPerSecond / kAgents);
}

} // namespace

} // namespace foxtailbarrow::taskagent::test
