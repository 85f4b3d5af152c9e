#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "soak/PromiseChecker.h"

namespace foxtailbarrow::soak::test {

namespace {

using cell::JobPhase;
using cell::RunEnd;
using cell::TaskRef;
using standin::RunEvent;
using standin::RunEventKind;

const JobId kJob("job");
const TaskRef kFirst{ kJob, 0, 0, 0 };
const TaskRef kSecond{ kJob, 0, 1, 0 };

/// Feeds a checker with the run events of workers "x" and "y" of 4000
/// millicores for an accepted job of two steps with one task each.
class Scenario
{
public:
  explicit Scenario(std::string aPayload = "work=100")
    : mPayload(std::move(aPayload))
    , mChecker({ 4000, 8000, 0 })
  {
    cell::JobGraph graph;
    graph.mId = kJob;
    graph.mPayload = mPayload;
    graph.mSteps.resize(2);
    graph.mSteps[0].mDemand = { 3000, 1000, 0 };
    graph.mSteps[1].mDemand = { 3000, 1000, 0 };
    graph.mSteps[1].mAfter = { 0 };
    mChecker.OnSubmitting(graph);
    mChecker.OnSubmitted(kJob, SubmitOutcome::Accepted);
  }

  Scenario& Start(const char* aWorker,
                  const TaskRef& aTask = kFirst,
                  cell::RunNumber aRun = 1)
  {
    return Send(aWorker, RunEventKind::Started, aTask, aRun, RunEnd::Done);
  }

  Scenario& End(const char* aWorker,
                RunEnd aEnd = RunEnd::Done,
                const TaskRef& aTask = kFirst,
                cell::RunNumber aRun = 1)
  {
    return Send(aWorker, RunEventKind::Ended, aTask, aRun, aEnd);
  }

  Scenario& Acknowledge(const char* aWorker)
  {
    return Send(aWorker, RunEventKind::Acknowledged, kFirst, 1, RunEnd::Done);
  }

  Scenario& Lapse(const char* aWorker)
  {
    return Send(
      aWorker, RunEventKind::LeaseLapsed, {}, 0, RunEnd::LeaseExpired);
  }

  /// Starts a run and crashes its worker.
  Scenario& StartAndLose(const std::string& aWorker, cell::RunNumber aRun)
  {
    Start(aWorker.c_str(), kFirst, aRun);
    return Send(
      aWorker.c_str(), RunEventKind::Lost, kFirst, aRun, RunEnd::LeaseExpired);
  }

  Scenario& Show(JobPhase aPhase)
  {
    mChecker.OnPhaseShown(kJob, aPhase);
    return *this;
  }

  PromiseChecker& Checker() { return mChecker; }

private:
  Scenario& Send(const char* aWorker,
                 RunEventKind aKind,
                 const TaskRef& aTask,
                 cell::RunNumber aRun,
                 RunEnd aEnd)
  {
    mChecker.OnRunEvent(aWorker, { aKind, aTask, aRun, aEnd, mPayload });
    return *this;
  }

  std::string mPayload;
  PromiseChecker mChecker;
};

struct ScenarioCase
{
  const char* mName;
  std::function<void(Scenario&)> mRun;
  bool mIsKept;
};

class PromiseCheckerTest : public testing::TestWithParam<ScenarioCase>
{};

TEST_P(PromiseCheckerTest, DetectsABrokenPromise)
{
  Scenario scenario;
  GetParam().mRun(scenario);
  EXPECT_EQ(scenario.Checker().Violations().empty(), GetParam().mIsKept);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  PromiseCheckerTest,
  testing::Values(
    ScenarioCase{ "InOrder",
                  [](Scenario& aScenario) {
                    aScenario.Start("x").End("x").Acknowledge("x").Start(
                      "y", kSecond);
                  },
                  true },
    ScenarioCase{
      "ConcurrentRuns",
      [](Scenario& aScenario) { aScenario.Start("x").Start("y", kFirst, 2); },
      false },
    ScenarioCase{ "RestartAfterAStop",
                  [](Scenario& aScenario) {
                    aScenario.Start("x").End("x", RunEnd::Stopped);
                    aScenario.Start("y", kFirst, 2);
                  },
                  true },
    ScenarioCase{ "RestartAfterAnAcknowledgedEnd",
                  [](Scenario& aScenario) {
                    aScenario.Start("x").End("x").Acknowledge("x").Start(
                      "y", kFirst, 2);
                  },
                  false },
    ScenarioCase{
      "AcknowledgedAfterTheNextStart",
      [](Scenario& aScenario) {
        aScenario.Start("x").End("x").Start("y", kFirst, 2).Acknowledge("x");
      },
      false },
    ScenarioCase{ "AcknowledgedAfterTheLeaseLapsed",
                  [](Scenario& aScenario) {
                    aScenario.Start("x").End("x").Lapse("x");
                    aScenario.Start("y", kFirst, 2).Acknowledge("x");
                  },
                  true },
    ScenarioCase{ "BeforeItsDependency",
                  [](Scenario& aScenario) { aScenario.Start("x", kSecond); },
                  false },
    ScenarioCase{ "OverTheCapacity",
                  [](Scenario& aScenario) {
                    aScenario.Start("x").End("x").Start("y", kFirst, 2);
                    aScenario.Start("y", kSecond);
                  },
                  false },
    ScenarioCase{ "UnknownJob",
                  [](Scenario& aScenario) {
                    aScenario.Start("x", TaskRef{ JobId("other"), 0, 0, 0 });
                  },
                  false },
    ScenarioCase{ "RefusedAndRun",
                  [](Scenario& aScenario) {
                    aScenario.Checker().OnSubmitted(kJob,
                                                    SubmitOutcome::Refused);
                    aScenario.Start("x");
                  },
                  false },
    ScenarioCase{ "CompletedTooEarly",
                  [](Scenario& aScenario) {
                    aScenario.Start("x").End("x").Show(JobPhase::Completed);
                  },
                  false },
    ScenarioCase{ "CompletedAfterAll",
                  [](Scenario& aScenario) {
                    aScenario.Start("x").End("x").Start("x", kSecond);
                    aScenario.End("x", RunEnd::Done, kSecond);
                    aScenario.Show(JobPhase::Running).Show(JobPhase::Completed);
                  },
                  true },
    ScenarioCase{ "FinalThenAnother",
                  [](Scenario& aScenario) {
                    aScenario.Checker().OnCancelling(kJob);
                    aScenario.Show(JobPhase::Cancelled).Show(JobPhase::Running);
                  },
                  false },
    ScenarioCase{ "FailedWithoutAFailure",
                  [](Scenario& aScenario) { aScenario.Show(JobPhase::Failed); },
                  false },
    ScenarioCase{
      "AcceptedThenUnknown",
      [](Scenario& aScenario) { aScenario.Checker().OnUnknownJob(kJob); },
      false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

struct CrashCase
{
  const char* mPayload;
  int mCrashes;
  bool mShownFailed;
  bool mIsKept;
};

class PromiseCheckerCrashTest : public testing::TestWithParam<CrashCase>
{};

TEST_P(PromiseCheckerCrashTest, BoundsStartsUnderCrashes)
{
  const CrashCase& crashCase = GetParam();
  Scenario scenario(crashCase.mPayload);
  for (int run = 1; run <= crashCase.mCrashes; ++run) {
    scenario.StartAndLose("life" + std::to_string(run), run);
  }
  if (crashCase.mShownFailed) {
    scenario.Show(JobPhase::Failed);
  }
  EXPECT_EQ(scenario.Checker().Violations().empty(), crashCase.mIsKept);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  PromiseCheckerCrashTest,
  testing::Values(CrashCase{ "crashes=10", 3, true, true },
                  CrashCase{ "crashes=10", 1, true, false },
                  CrashCase{ "crashes=10", 5, false, true },
                  CrashCase{ "crashes=10", 6, false, false },
                  CrashCase{ "work=100", 6, false, true },
                  CrashCase{ "work=100", 2, true, true },
                  CrashCase{ "work=100", 1, true, false }));

TEST(PromiseCheckerEnd, AnAcceptedJobHasToEnd)
{
  Scenario scenario;
  EXPECT_EQ(scenario.Checker().Missing().size(), 1U);
  scenario.Start("x").End("x").Start("x", kSecond);
  scenario.End("x", RunEnd::Done, kSecond).Show(JobPhase::Completed);
  EXPECT_TRUE(scenario.Checker().Missing().empty());
}

TEST(PromiseCheckerEnd, ACancelledJobHasToStop)
{
  Scenario scenario;
  scenario.Start("x");
  scenario.Checker().OnCancelling(kJob);
  scenario.Checker().OnCancelled(kJob);
  EXPECT_EQ(scenario.Checker().Missing().size(), 1U);
  scenario.End("x", RunEnd::Stopped);
  EXPECT_TRUE(scenario.Checker().Missing().empty());
}

} // namespace

} // namespace foxtailbarrow::soak::test
