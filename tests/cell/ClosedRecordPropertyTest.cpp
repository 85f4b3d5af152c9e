#include <memory>
#include <optional>
#include <random>

#include "src/core/cell/recovery/RecordClosing.h"
#include "src/core/cell/workers/ReportEncoder.h"
#include "src/core/message/Codec.h"
#include "tests/cell/CellFixture.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr std::int32_t kTasks = 24;
constexpr std::uint64_t kSeeds = 2'000;
constexpr std::size_t kMaxMessageBytes = 1024UL * 1024;
const JobId kJob("0123456789abcdef");
const AgentId kAgent("agent");

using Random = std::mt19937_64;

std::uint64_t Below(Random& aRandom, std::uint64_t aLimit)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aLimit - 1)(aRandom);
}

/// A value in the store. Writes are conditional on its revision; one whose
/// answer is lost may be applied later.
template<typename Record>
struct StoredRecord
{
  struct Write
  {
    Record mRecord;
    std::uint64_t mRevision = 0; ///< Of the record that it replaces.
  };

  bool Apply(const Write& aWrite)
  {
    if (aWrite.mRevision != mRevision) {
      return false;
    }
    mRecord = aWrite.mRecord;
    ++mRevision;
    return true;
  }

  Record mRecord;
  std::uint64_t mRevision = 0;
  std::optional<Write> mInFlight; ///< Not answered yet.
  std::optional<Write> mLate;     ///< Its answer was lost.
};

/// A worker whose tasks end one by one, and the owner that it reports to.
/// Reports, writes of progress and writes of the agent's record are sent, lost
/// and applied late at random.
class TakeoverRun : public CellFixture
{
public:
  explicit TakeoverRun(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  void TestBody() override {}

  /// Returns the tasks that the next owner starts although they have ended.
  std::vector<TaskRef> StartedAgain()
  {
    Begin();
    const std::uint64_t steps = 5 + Below(mRandom, 60);
    for (std::uint64_t i = 0; i < steps; ++i) {
      StepOnce();
    }
    return TakeOver();
  }

private:
  void Begin()
  {
    AttachAndGrant(kAgent.Value());
    AddSavedJob(Graph(kJob.Value(), { Step(kTasks, 100) }));
    mProgress.mRevision = 1;
    const OrderRequest orders = Orders(kAgent.Value());
    Started(kAgent.Value(), orders);
    for (const StartOrder& start : orders.mStarts) {
      mRunning.push_back(Running(start.mTask, start.mRun));
    }
    ASSERT_EQ(mRunning.size(), std::size_t{ kTasks });
  }

  void StepOnce()
  {
    switch (Below(mRandom, 7)) {
      case 0:
      case 1:
        return EndTask();
      case 2:
      case 3:
        return SendReport();
      case 4:
        return SaveOrAnswer();
      case 5:
        return CloseOrAnswer();
      default:
        return Detach();
    }
  }

  WorkerState Now() const
  {
    WorkerState state = State(kAgent.Value() + "-life", mRunning, mEnded);
    state.mInfo.mDraining = true;
    return state;
  }

  void EndTask()
  {
    if (mRunning.empty()) {
      return;
    }
    const auto at = mRunning.begin() + Below(mRandom, mRunning.size());
    mEnded.push_back(Ended(++mEnds, at->mTask, at->mRun, RunEnd::Done));
    mDone.push_back(at->mTask);
    mRunning.erase(at);
  }

  void SendReport()
  {
    if (mDetached) {
      return;
    }
    ReportRequest report = ReportOf(kAgent.Value(), {});
    mEncoder.Fill(Now(), mNow, report);
    ASSERT_TRUE(mScheduler.HandleReport(report, Clock()));
    if (Below(mRandom, 4) == 0) {
      mEncoder.Forget(); // Its answer was lost.
      return;
    }
    mEncoder.OnAccepted(report);
    const std::int64_t acknowledged = mScheduler.Acknowledged(kAgent);
    std::erase_if(mEnded, [&](const EndedTask& aEnd) {
      return aEnd.mNumber <= acknowledged;
    });
  }

  /// The owner loses contact with the agent, or finds it again.
  void Detach()
  {
    mDetached = !mDetached;
    if (mDetached) {
      mScheduler.DetachWorker(kAgent, Clock());
    } else {
      mEncoder.Forget();
      Attach(kAgent.Value(), Now());
    }
  }

  void SaveOrAnswer()
  {
    if (mProgress.mInFlight) {
      const auto write = *std::exchange(mProgress.mInFlight, std::nullopt);
      if (Below(mRandom, 2) == 0) {
        mProgress.mLate = write;
      } else if (mProgress.Apply(write)) {
        mScheduler.OnProgressSaved(kJob, mSavingVersion, mProgress.mRevision);
      }
      return;
    }
    if (mProgress.mLate && Below(mRandom, 2) == 0) {
      mProgress.Apply(*std::exchange(mProgress.mLate, std::nullopt));
    }
    const auto unsaved = mScheduler.UnsavedJobs(1);
    if (!unsaved.empty()) {
      mSavingVersion = unsaved.front().mVersion;
      mProgress.mInFlight = { { unsaved.front().mProgress,
                                mProgress.mRevision } };
    }
  }

  void CloseOrAnswer()
  {
    if (mContact.mInFlight) {
      const auto write = *std::exchange(mContact.mInFlight, std::nullopt);
      if (Below(mRandom, 2) == 0) {
        mContact.mLate = write;
      } else {
        mContact.Apply(write);
      }
      return;
    }
    if (mContact.mLate && Below(mRandom, 2) == 0) {
      mContact.Apply(*std::exchange(mContact.mLate, std::nullopt));
    }
    AgentContact contact{ {}, true, mScheduler.TasksToAwait(kAgent) };
    EXPECT_LT(ToJsonText(contact).size(), kMaxMessageBytes);
    mContact.mInFlight = { { std::move(contact), mContact.mRevision } };
  }

  std::vector<TaskRef> TakeOver()
  {
    CellScheduler next(kGeneration + 1, mSettings, [](const CellDecision&) {});
    next.SetQueues({ Policy() });
    next.AddJob({ Graph(kJob.Value(), { Step(kTasks, 100) }), mUnixMs, false },
                mProgress.mRecord,
                7,
                Clock());
    const AgentContact& contact = mContact.mRecord;
    next.ExpectAgents({ { kAgent, contact.mClosed, contact.mTasks } },
                      mNow + mSettings.mOwnershipTimeout);
    const AgentId other("other");
    next.AttachWorker(
      other, { "127.0.0.1", 1 }, 1, State("other-life"), Clock());
    next.OnGrant(other, mNow + mSettings.mMaxTaskLease);
    std::vector<TaskRef> again;
    const auto collect = [&] {
      next.Schedule(Clock());
      for (const UnsavedProgress& job : next.UnsavedJobs(1)) {
        next.OnProgressSaved(job.mJob, job.mVersion, 8);
      }
      next.Schedule(Clock());
      for (const StartOrder& start : next.TakeOrders(other).mStarts) {
        if (std::ranges::find(mDone, start.mTask) != mDone.end()) {
          again.push_back(start.mTask);
        }
      }
    };
    collect();
    next.AttachWorker(kAgent, { "127.0.0.1", 1 }, 2, Now(), Clock());
    collect();
    return again;
  }

  Random mRandom;
  std::vector<RunningTask> mRunning;
  std::vector<EndedTask> mEnded; ///< Not acknowledged.
  std::vector<TaskRef> mDone;
  std::int64_t mEnds = 0;
  bool mDetached = false;
  ReportEncoder mEncoder;
  StoredRecord<StoredProgress> mProgress;
  std::uint64_t mSavingVersion = 0;
  StoredRecord<AgentContact> mContact;
};

/// Guards against a next owner that starts tasks again whose ends are neither
/// saved nor named by the closed record, whatever was reported, saved or lost
/// before the takeover.
TEST(ClosedRecordPropertyTest, NoTaskThatHasEndedStartsAgain)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    TakeoverRun run(seed);
    const std::vector<TaskRef> again = run.StartedAgain();
    ASSERT_TRUE(again.empty()) << "seed " << seed << ": " << again.size()
                               << " tasks, first " << ToString(again.front());
  }
}

/// Guards against a record that the store refuses: it names at most all tasks
/// of a worker.
TEST(ClosedRecordPropertyTest, TheLongestRecordFitsIntoAMessage)
{
  constexpr std::int32_t kLargest = 1'000'000;
  AgentContact contact{ { "10.200.100.100", 65'535 }, true, {} };
  for (std::int32_t i = 0;
       i < static_cast<std::int32_t>(CellLimits::kTasksPerWorker);
       ++i) {
    contact.mTasks.push_back({ kJob, kLargest, kLargest, kLargest + i });
  }
  const std::size_t bytes = ToJsonText(contact).size();
  RecordProperty("bytes", static_cast<int>(bytes));
  EXPECT_LT(bytes, kMaxMessageBytes);
}

} // namespace

} // namespace foxtailbarrow::cell::test
