#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

const JobId kJob("job");
const TaskRef kFirst{ kJob, 0, 0, 0 };

StepSpec Spec(void (*aChange)(StepSpec&) = [](StepSpec&) {})
{
  StepSpec step;
  step.mDemand = { 1000, 1000, 0 };
  step.mEstimate = seconds(10);
  aChange(step);
  return step;
}

class CrashCaseTest;

/// What happens to the first task of a job on worker "a" before it crashes.
struct CrashCase
{
  const char* mName;
  StepSpec mStep;
  void (CrashCaseTest::*mBefore)();
  CrashHistory::Runs mCounts; ///< With runs numbered from 1.
};

class CrashCaseTest
  : public CellFixture
  , public testing::WithParamInterface<CrashCase>
{
public:
  void NotSent() {}

  void NotAnswered() { TakeOrdersOf("a"); }

  void Refuse() { Answer(StartOutcome::NotStarted); }

  void RefuseForCapacity() { Answer(StartOutcome::OverCapacity); }

  void Start() { Answer(StartOutcome::Started); }

  /// The start is carried out late: reported running before it is answered.
  void ReportBeforeAnswer()
  {
    const OrderRequest orders = TakeOrdersOf("a");
    Report("a", Runs(orders));
  }

  void RunPastProvenUptime()
  {
    const OrderRequest orders = Answer(StartOutcome::Started);
    for (int report = 0; report < 4; ++report) {
      AdvanceClock(milliseconds(400));
      Report("a", Runs(orders));
    }
  }

  void End()
  {
    const RunNumber run = Answer(StartOutcome::Started).mStarts.front().mRun;
    Report("a", State("a-life", {}, { Ended(1, kFirst, run, RunEnd::Failed) }));
  }

  /// The other member of the gang was refused, so this one is being stopped.
  void StopGang()
  {
    AttachAndGrant("b");
    mScheduler.Schedule(Clock());
    Started("a", TakeOrdersOf("a"));
    const OrderRequest other = TakeOrdersOf("b");
    ASSERT_EQ(other.mStarts.size(), 1U);
    mScheduler.OnStartResults(AgentId("b"),
                              other.mSession,
                              { { other.mStarts[0].mTask,
                                  other.mStarts[0].mRun,
                                  StartOutcome::Unhealthy } },
                              Clock());
    EXPECT_EQ(TakeOrdersOf("a").mStops.size(), 1U);
  }

  void Drain()
  {
    WorkerState state = Runs(Answer(StartOutcome::Started));
    state.mInfo.mDraining = true;
    Report("a", state);
  }

  void ComeBackAsOtherService()
  {
    Answer(StartOutcome::Started);
    mService = "other";
  }

protected:
  OrderRequest TakeOrdersOf(const std::string& aAgent)
  {
    return mScheduler.TakeOrders(AgentId(aAgent));
  }

  OrderRequest Answer(StartOutcome aOutcome)
  {
    OrderRequest orders = TakeOrdersOf("a");
    EXPECT_EQ(orders.mStarts.size(), 1U);
    mScheduler.OnStartResults(
      AgentId("a"),
      orders.mSession,
      { { kFirst, orders.mStarts.at(0).mRun, aOutcome } },
      Clock());
    return orders;
  }

  static WorkerState Runs(const OrderRequest& aOrders)
  {
    const StartOrder& start = aOrders.mStarts.at(0);
    return State("a-life", { Running(start.mTask, start.mRun) });
  }

  /// Runs are numbered from the owner's generation; converts to numbers from 1.
  static std::vector<RunNumber> FromOne(const std::vector<RunNumber>& aRuns)
  {
    std::vector<RunNumber> numbers;
    for (const RunNumber run : aRuns) {
      numbers.push_back(run - (kGeneration << 20));
    }
    return numbers;
  }

  std::string mService = "service";
};

TEST_P(CrashCaseTest, CountsPossibleCauses)
{
  const CrashCase& crash = GetParam();
  AttachAndGrant("a");
  StepSpec step = crash.mStep;
  JobGraph graph = Graph("job", { step });
  AddSavedJob(graph);
  if (!step.mGang) {
    mScheduler.Schedule(Clock());
  }
  (this->*crash.mBefore)();
  AdvanceClock(milliseconds(50));
  WorkerState next = State("a-next");
  next.mInfo.mService = ServiceId(mService);
  Report("a", next);
  const CrashHistory::Runs& counted =
    mScheduler.Jobs().at(kJob).Find(kFirst)->mCrashes.Crashes();
  EXPECT_EQ(FromOne(counted.mSole), crash.mCounts.mSole);
  EXPECT_EQ(FromOne(counted.mLikely), crash.mCounts.mLikely);
  EXPECT_EQ(FromOne(counted.mPossible), crash.mCounts.mPossible);
  EXPECT_EQ(FromOne(counted.mUnconfirmed), crash.mCounts.mUnconfirmed);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  CrashCaseTest,
  testing::Values(
    CrashCase{ "NotSent", Spec(), &CrashCaseTest::NotSent, {} },
    CrashCase{ "NotAnswered",
               Spec(),
               &CrashCaseTest::NotAnswered,
               { .mUnconfirmed = { 1 } } },
    CrashCase{ "Refused", Spec(), &CrashCaseTest::Refuse, {} },
    CrashCase{ "RefusedForCapacity",
               Spec(),
               &CrashCaseTest::RefuseForCapacity,
               {} },
    CrashCase{ "Started", Spec(), &CrashCaseTest::Start, { .mLikely = { 1 } } },
    CrashCase{ "ReportedBeforeAnswer",
               Spec(),
               &CrashCaseTest::ReportBeforeAnswer,
               { .mLikely = { 1 } } },
    CrashCase{ "Proven", Spec(), &CrashCaseTest::RunPastProvenUptime, {} },
    CrashCase{ "Ended", Spec(), &CrashCaseTest::End, {} },
    CrashCase{ "Drained", Spec(), &CrashCaseTest::Drain, {} },
    CrashCase{ "OtherServiceAtTheAddress",
               Spec(),
               &CrashCaseTest::ComeBackAsOtherService,
               { .mLikely = { 1 } } },
    CrashCase{ "Standing",
               Spec([](StepSpec& aStep) { aStep.mStanding = true; }),
               &CrashCaseTest::Start,
               { .mLikely = { 1 } } },
    CrashCase{ "BestEffort",
               Spec([](StepSpec& aStep) { aStep.mBestEffort = true; }),
               &CrashCaseTest::Start,
               { .mLikely = { 1 } } },
    CrashCase{ "Copied",
               Spec([](StepSpec& aStep) { aStep.mSpeculative = true; }),
               &CrashCaseTest::Start,
               { .mLikely = { 1 } } },
    CrashCase{ "GangBeingStopped",
               Spec([](StepSpec& aStep) {
                 aStep.mGang = true;
                 aStep.mReplicas = 2;
                 aStep.mMaxPerWorker = 1;
               }),
               &CrashCaseTest::StopGang,
               { .mLikely = { 1 } } }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
