#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr std::int64_t kStartedUnixMs = 1'700'000'000'000;
const TaskRef kFirst{ JobId("job"), 0, 0, 0 };

/// How the owner hears of the worker's next incarnation.
enum class Channel
{
  Report,
  Attach,
};

struct RestartCase
{
  const char* mName;
  Channel mChannel;
  std::optional<std::int64_t> mStartedUnixMs;
};

/// A worker restarts under its id after its end number 5 was acknowledged.
class RestartedIncarnationTest
  : public CellFixture
  , public testing::WithParamInterface<RestartCase>
{
protected:
  static WorkerState StateOf(std::optional<std::int64_t> aStartedUnixMs,
                             std::vector<RunningTask> aRunning = {},
                             std::vector<EndedTask> aEnded = {})
  {
    WorkerState state = State("a-life", std::move(aRunning), std::move(aEnded));
    state.mInfo.mIncarnation.mStartedUnixMs = aStartedUnixMs;
    return state;
  }

  void Begin()
  {
    Attach("a", StateOf(kStartedUnixMs));
    Grant("a");
    AddSavedJob(Graph("earlier", { Step(1) }));
    const OrderRequest orders = Orders("a");
    ASSERT_EQ(orders.mStarts.size(), 1U);
    Started("a", orders);
    Report(
      "a",
      StateOf(
        kStartedUnixMs,
        {},
        { Ended(
          5, orders.mStarts[0].mTask, orders.mStarts[0].mRun, RunEnd::Done) }));
    SaveProgress();
    ASSERT_EQ(mScheduler.Acknowledged(AgentId("a")), 5);
    AddSavedJob(Graph("job", { Step(1) }));
  }

  /// Starts the first task of "job" and returns its run.
  RunNumber StartFirst()
  {
    const OrderRequest orders = Orders("a");
    EXPECT_EQ(orders.mStarts.size(), 1U);
    Started("a", orders);
    return orders.mStarts.empty() ? 0 : orders.mStarts[0].mRun;
  }

  void Hear(const WorkerState& aState)
  {
    if (GetParam().mChannel == Channel::Attach) {
      Attach("a", aState);
      Grant("a");
    } else {
      Report("a", aState);
    }
    SaveProgress();
  }
};

/// The end has a number that the earlier incarnation used as well.
TEST_P(RestartedIncarnationTest, ItsEndsCount)
{
  Begin();
  Hear(StateOf(GetParam().mStartedUnixMs));
  EXPECT_EQ(mScheduler.Acknowledged(AgentId("a")), 0);
  const RunNumber run = StartFirst();
  Report("a",
         StateOf(GetParam().mStartedUnixMs,
                 {},
                 { Ended(1, kFirst, run, RunEnd::Done) }));
  SaveProgress();
  EXPECT_EQ(mScheduler.Acknowledged(AgentId("a")), 1);
  EXPECT_TRUE(Orders("a").mStarts.empty());
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Completed);
}

TEST_P(RestartedIncarnationTest, RunsOfTheEarlierOneStartAgainOnce)
{
  Begin();
  const RunNumber lost = StartFirst();
  Hear(StateOf(GetParam().mStartedUnixMs));
  const OrderRequest orders = Orders("a");
  ASSERT_EQ(orders.mStarts.size(), 1U);
  EXPECT_GT(orders.mStarts[0].mRun, lost);
}

/// A late order was carried out by the next incarnation.
TEST_P(RestartedIncarnationTest, ARunThatItListsIsNotStartedBesideIt)
{
  Begin();
  const RunNumber run = StartFirst();
  Hear(StateOf(GetParam().mStartedUnixMs, { Running(kFirst, run) }));
  EXPECT_TRUE(Orders("a").mStarts.empty());
  Report("a",
         StateOf(GetParam().mStartedUnixMs,
                 {},
                 { Ended(1, kFirst, run, RunEnd::Done) }));
  SaveProgress();
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Completed);
}

TEST_P(RestartedIncarnationTest, AnEndThatItListsCounts)
{
  Begin();
  const RunNumber run = StartFirst();
  Hear(StateOf(
    GetParam().mStartedUnixMs, {}, { Ended(1, kFirst, run, RunEnd::Done) }));
  EXPECT_EQ(mScheduler.PhaseOf(JobId("job")), JobPhase::Completed);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  RestartedIncarnationTest,
  testing::Values(
    RestartCase{ "Report", Channel::Report, kStartedUnixMs + 5000 },
    RestartCase{ "Attach", Channel::Attach, kStartedUnixMs + 5000 },
    RestartCase{ "ReportByAnEarlierClock",
                 Channel::Report,
                 kStartedUnixMs - 5000 },
    RestartCase{ "AttachByAnEarlierClock",
                 Channel::Attach,
                 kStartedUnixMs - 5000 },
    // The agent was replaced by one of an earlier version.
    RestartCase{ "AttachWithoutStartTime", Channel::Attach, std::nullopt }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

class UnstatedStartTimeTest : public RestartedIncarnationTest
{};

/// Agents of both versions take turns on one worker, which runs on.
TEST_F(UnstatedStartTimeTest, TheWorkerIsNotTakenForRestarted)
{
  Attach("a", StateOf(kStartedUnixMs));
  Grant("a");
  AddSavedJob(Graph("job", { Step(1) }));
  const RunNumber run = StartFirst();
  Attach("a", StateOf(std::nullopt, { Running(kFirst, run) }));
  Attach("a", StateOf(kStartedUnixMs, { Running(kFirst, run) }));
  Grant("a");
  EXPECT_TRUE(Orders("a").mStarts.empty());
  EXPECT_FALSE(WasLogged("worker-crashed"));
}

} // namespace

} // namespace foxtailbarrow::cell::test
