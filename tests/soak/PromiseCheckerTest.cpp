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

/// A book that knows an accepted job of two steps with a task each, and the
/// marks of workers "x" and "y" of 4000 millicores.
class Story
{
public:
  explicit Story(std::string aPayload = "work=100")
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

  Story& Start(const char* aWorker,
               const TaskRef& aTask = kFirst,
               cell::RunNumber aRun = 1)
  {
    return Tell(aWorker, RunEventKind::Started, aTask, aRun, RunEnd::Done);
  }

  Story& End(const char* aWorker,
             RunEnd aEnd = RunEnd::Done,
             const TaskRef& aTask = kFirst,
             cell::RunNumber aRun = 1)
  {
    return Tell(aWorker, RunEventKind::Ended, aTask, aRun, aEnd);
  }

  Story& Note(const char* aWorker)
  {
    return Tell(aWorker, RunEventKind::Acknowledged, kFirst, 1, RunEnd::Done);
  }

  Story& Lapse(const char* aWorker)
  {
    return Tell(
      aWorker, RunEventKind::LeaseLapsed, {}, 0, RunEnd::LeaseExpired);
  }

  /// The worker goes down under the run.
  Story& StartAndLose(const std::string& aWorker, cell::RunNumber aRun)
  {
    Start(aWorker.c_str(), kFirst, aRun);
    return Tell(
      aWorker.c_str(), RunEventKind::Lost, kFirst, aRun, RunEnd::LeaseExpired);
  }

  Story& Show(JobPhase aPhase)
  {
    mChecker.OnPhaseShown(kJob, aPhase);
    return *this;
  }

  PromiseChecker& Book() { return mChecker; }

private:
  Story& Tell(const char* aWorker,
              RunEventKind aMoment,
              const TaskRef& aTask,
              cell::RunNumber aRun,
              RunEnd aEnd)
  {
    mChecker.OnRunEvent(aWorker, { aMoment, aTask, aRun, aEnd, mPayload });
    return *this;
  }

  std::string mPayload;
  PromiseChecker mChecker;
};

struct StoryCase
{
  const char* mName;
  std::function<void(Story&)> mTell;
  bool mHolds;
};

class PromiseCheckerTest : public testing::TestWithParam<StoryCase>
{};

TEST_P(PromiseCheckerTest, KnowsABrokenPromise)
{
  Story story;
  GetParam().mTell(story);
  EXPECT_EQ(story.Book().Violations().empty(), GetParam().mHolds);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  PromiseCheckerTest,
  testing::Values(
    StoryCase{ "InOrder",
               [](Story& aStory) {
                 aStory.Start("x").End("x").Note("x").Start("y", kSecond);
               },
               true },
    StoryCase{ "TwoAtATime",
               [](Story& aStory) { aStory.Start("x").Start("y", kFirst, 2); },
               false },
    StoryCase{ "AgainAfterAStop",
               [](Story& aStory) {
                 aStory.Start("x").End("x", RunEnd::Stopped);
                 aStory.Start("y", kFirst, 2);
               },
               true },
    StoryCase{ "AgainAfterANotedEnd",
               [](Story& aStory) {
                 aStory.Start("x").End("x").Note("x").Start("y", kFirst, 2);
               },
               false },
    StoryCase{ "NotedAfterTheNextStart",
               [](Story& aStory) {
                 aStory.Start("x").End("x").Start("y", kFirst, 2).Note("x");
               },
               false },
    StoryCase{ "NotedAfterTheLeaseLapsed",
               [](Story& aStory) {
                 aStory.Start("x").End("x").Lapse("x");
                 aStory.Start("y", kFirst, 2).Note("x");
               },
               true },
    StoryCase{ "BeforeTheStepBefore",
               [](Story& aStory) { aStory.Start("x", kSecond); },
               false },
    StoryCase{ "OverTheCapacity",
               [](Story& aStory) {
                 aStory.Start("x").End("x").Start("y", kFirst, 2);
                 aStory.Start("y", kSecond);
               },
               false },
    StoryCase{ "NobodyAsked",
               [](Story& aStory) {
                 aStory.Start("x", TaskRef{ JobId("other"), 0, 0, 0 });
               },
               false },
    StoryCase{ "RefusedAndRun",
               [](Story& aStory) {
                 aStory.Book().OnSubmitted(kJob, SubmitOutcome::Refused);
                 aStory.Start("x");
               },
               false },
    StoryCase{ "CompletedTooEarly",
               [](Story& aStory) {
                 aStory.Start("x").End("x").Show(JobPhase::Completed);
               },
               false },
    StoryCase{ "CompletedAfterAll",
               [](Story& aStory) {
                 aStory.Start("x").End("x").Start("x", kSecond);
                 aStory.End("x", RunEnd::Done, kSecond);
                 aStory.Show(JobPhase::Running).Show(JobPhase::Completed);
               },
               true },
    StoryCase{ "FinalThenAnother",
               [](Story& aStory) {
                 aStory.Book().OnCancelling(kJob);
                 aStory.Show(JobPhase::Cancelled).Show(JobPhase::Running);
               },
               false },
    StoryCase{ "FailedWithoutAFailure",
               [](Story& aStory) { aStory.Show(JobPhase::Failed); },
               false },
    StoryCase{ "AcceptedThenUnknown",
               [](Story& aStory) { aStory.Book().OnUnknownJob(kJob); },
               false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

struct CrashStory
{
  const char* mPayload;
  int mCrashes;
  bool mShownFailed;
  bool mHolds;
};

class PromiseBookCrashTest : public testing::TestWithParam<CrashStory>
{};

TEST_P(PromiseBookCrashTest, BoundsStartsUnderCrashes)
{
  const CrashStory& facts = GetParam();
  Story story(facts.mPayload);
  for (int run = 1; run <= facts.mCrashes; ++run) {
    story.StartAndLose("life" + std::to_string(run), run);
  }
  if (facts.mShownFailed) {
    story.Show(JobPhase::Failed);
  }
  EXPECT_EQ(story.Book().Violations().empty(), facts.mHolds);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  PromiseBookCrashTest,
  testing::Values(CrashStory{ "crashes=10", 3, true, true },
                  CrashStory{ "crashes=10", 1, true, false },
                  CrashStory{ "crashes=10", 5, false, true },
                  CrashStory{ "crashes=10", 6, false, false },
                  CrashStory{ "work=100", 6, false, true },
                  CrashStory{ "work=100", 2, true, true },
                  CrashStory{ "work=100", 1, true, false }));

TEST(PromiseBookEnd, AnAcceptedJobHasToEnd)
{
  Story story;
  EXPECT_EQ(story.Book().Missing().size(), 1U);
  story.Start("x").End("x").Start("x", kSecond);
  story.End("x", RunEnd::Done, kSecond).Show(JobPhase::Completed);
  EXPECT_TRUE(story.Book().Missing().empty());
}

TEST(PromiseBookEnd, ACancelledJobHasToStop)
{
  Story story;
  story.Start("x");
  story.Book().OnCancelling(kJob);
  story.Book().Cancelled(kJob);
  EXPECT_EQ(story.Book().Missing().size(), 1U);
  story.End("x", RunEnd::Stopped);
  EXPECT_TRUE(story.Book().Missing().empty());
}

} // namespace

} // namespace foxtailbarrow::soak::test
