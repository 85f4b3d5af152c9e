#include <map>
#include <string>
#include <vector>

#include <boost/fiber/fiber.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "src/platform/store/BatchWriter.h"
#include "src/platform/store/MemoryStore.h"
#include "tests/store/NamedCase.h"
#include "tests/store/UnreliableStore.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

void SpawnFiber(std::function<void()> aBody)
{
  boost::fibers::fiber(std::move(aBody)).detach();
}

RecordWrite Record(const std::string& aKey, Revision aExpected = 0)
{
  return { { aKey, "value", 0 }, aExpected, std::nullopt };
}

/// Makes all writes concurrently, each in a fiber, and returns their outcomes.
std::vector<absl::StatusOr<Revision>> WriteAll(
  BatchWriter& aWriter,
  const std::vector<RecordWrite>& aRecords)
{
  std::vector<absl::StatusOr<Revision>> outcomes(aRecords.size());
  std::vector<boost::fibers::fiber> fibers;
  for (std::size_t index = 0; index < aRecords.size(); ++index) {
    fibers.emplace_back(
      [&, index] { outcomes[index] = aWriter.Write(0, aRecords[index]); });
  }
  for (auto& fiber : fibers) {
    fiber.join();
  }
  return outcomes;
}

std::vector<RecordWrite> DistinctRecords(int aCount)
{
  std::vector<RecordWrite> records;
  for (int index = 0; index < aCount; ++index) {
    records.push_back(Record("/" + std::to_string(index)));
  }
  return records;
}

struct BatchCase
{
  const char* mName;
  int mWrites;
  std::size_t mValueBytes;
  std::size_t mGuards;
  std::uint64_t mCommits;
};

class BatchWriterGathers : public testing::TestWithParam<BatchCase>
{};

TEST_P(BatchWriterGathers, WritesIntoFewTransactions)
{
  const BatchCase& batch = GetParam();
  MemoryStore store;
  std::vector<RecordWrite> records = DistinctRecords(batch.mWrites);
  for (std::size_t index = 0; index < records.size(); ++index) {
    records[index].mWrite.mValue = std::string(batch.mValueBytes, 'x');
    if (batch.mGuards > 0) {
      const auto guard = std::to_string(index % batch.mGuards);
      records[index].mGuard = StoreCompare{ "/guard/" + guard, 0 };
    }
  }
  BatchWriter writer(store, {}, SpawnFiber);
  for (const auto& outcome : WriteAll(writer, records)) {
    EXPECT_TRUE(outcome.ok()) << outcome.status();
  }
  EXPECT_EQ(store.Counts().Count(StoreCall::Commit), batch.mCommits);
}

INSTANTIATE_TEST_SUITE_P(
  Batches,
  BatchWriterGathers,
  testing::Values(BatchCase{ "Single", 1, 10, 0, 1 },
                  BatchCase{ "Whole", 128, 10, 0, 1 },
                  BatchCase{ "OneMore", 129, 10, 0, 2 },
                  BatchCase{ "SharedGuard", 127, 10, 1, 1 },
                  BatchCase{ "ManyGuards", 128, 10, 128, 2 },
                  BatchCase{ "LargeValues", 4, 600 * 1024, 0, 4 },
                  BatchCase{ "LargestValues", 2, 1024 * 1024, 0, 2 }),
  kNameOfCase);

TEST(BatchWriter, AppliesWritesToOneKeyInOrder)
{
  MemoryStore store;
  BatchWriter writer(store, {}, SpawnFiber);
  const auto outcomes =
    WriteAll(writer, { Record("/a"), Record("/b"), Record("/a") });
  EXPECT_TRUE(outcomes[0].ok());
  EXPECT_TRUE(outcomes[1].ok());
  EXPECT_TRUE(absl::IsAborted(outcomes[2].status()));
}

TEST(BatchWriter, RefusesWritesWhenTheQueueIsFull)
{
  MemoryStore store;
  BatchWriter writer(store, { .mMaxQueued = 10 }, SpawnFiber);
  int refused = 0;
  for (const auto& outcome : WriteAll(writer, DistinctRecords(15))) {
    if (!outcome.ok()) {
      ++refused;
      EXPECT_TRUE(absl::IsUnavailable(outcome.status()));
      EXPECT_EQ(VerdictOf(outcome.status()), Verdict::NotRun);
    }
  }
  EXPECT_EQ(refused, 5);
  EXPECT_EQ(writer.Counters().mRefused, 5U);
}

TEST(BatchWriter, RefusesInvalidRecords)
{
  MemoryStore store;
  BatchWriter writer(store, {}, SpawnFiber);
  const RecordWrite unnamed = Record("");
  const RecordWrite blindDelete{ { "/a", std::nullopt, 0 }, 0, std::nullopt };
  RecordWrite large = Record("/large");
  large.mWrite.mValue = std::string(1024 * 1024 + 1, 'x');
  const auto outcomes =
    WriteAll(writer, { unnamed, Record("/good"), blindDelete, large });
  for (const std::size_t bad : { 0, 2, 3 }) {
    EXPECT_TRUE(absl::IsInvalidArgument(outcomes[bad].status()));
    EXPECT_EQ(VerdictOf(outcomes[bad].status()), Verdict::NotRun);
  }
  EXPECT_TRUE(outcomes[1].ok());
}

TEST(BatchWriter, RefusesQueuedWritesWhenItStops)
{
  MemoryStore store;
  absl::StatusOr<Revision> outcome;
  boost::fibers::fiber caller;
  {
    BatchWriter writer(store, { .mLinger = 1h }, SpawnFiber);
    caller =
      boost::fibers::fiber([&] { outcome = writer.Write(0, Record("/a")); });
    while (writer.Counters().mWrites == 0) {
      boost::this_fiber::yield();
    }
  }
  caller.join();
  EXPECT_EQ(VerdictOf(outcome.status()), Verdict::NotRun);
  EXPECT_TRUE(absl::IsNotFound(store.Read("/a").status()));
}

/// The reported outcome of one write. Each write has a unique value as its key
/// in the map of outcomes.
struct WriteOutcome
{
  absl::StatusOr<Revision> mOutcome;
};

/// Owners that write a few shared keys over an unreliable store.
class ConcurrentOwners
{
public:
  explicit ConcurrentOwners(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mUnreliable(mStore, aSeed)
  {
  }

  void Run()
  {
    BatchWriter first(mUnreliable, { .mLinger = 0ms }, SpawnFiber);
    BatchWriter second(mUnreliable, { .mLinger = 0ms }, SpawnFiber);
    std::vector<boost::fibers::fiber> fibers;
    for (int owner = 0; owner < 8; ++owner) {
      BatchWriter& writer = owner % 2 == 0 ? first : second;
      fibers.emplace_back([&, owner] { WriteSome(writer, owner); });
    }
    for (auto& fiber : fibers) {
      fiber.join();
    }
    mUnreliable.DeliverDelayed();
  }

  std::map<std::string, std::vector<Revision>> Applied()
  {
    std::map<std::string, std::vector<Revision>> applied;
    mStore
      .WatchRange(KeyRange::Prefix("/"),
                  0,
                  Duration::zero(),
                  [&](const std::vector<StoreEvent>& aEvents) {
                    for (const StoreEvent& event : aEvents) {
                      applied[*event.mValue].push_back(event.mModRevision);
                    }
                    return false;
                  })
      .IgnoreError();
    return applied;
  }

  const std::map<std::string, WriteOutcome>& Outcomes() const
  {
    return mOutcomes;
  }

private:
  void WriteSome(BatchWriter& aWriter, int aOwner)
  {
    for (int write = 0; write < 6; ++write) {
      const std::string key = "/" + std::to_string(mRandom() % 4);
      const std::string value =
        std::to_string(aOwner) + "." + std::to_string(write);
      const auto entry = mStore.Read(key);
      const Revision expected = entry.ok() ? entry->mModRevision : 0;
      const auto outcome =
        aWriter.Write(0, { { key, value, 0 }, expected, std::nullopt });
      mOutcomes[value] = { outcome };
    }
  }

  std::mt19937 mRandom;
  MemoryStore mStore;
  UnreliableStore mUnreliable;
  std::map<std::string, WriteOutcome> mOutcomes;
};

RC_GTEST_PROP(BatchWriterProperty,
              AppliesAtMostOnceWithCorrectVerdicts,
              (std::uint32_t aSeed))
{
  ConcurrentOwners owners(aSeed);
  owners.Run();
  const auto applied = owners.Applied();
  for (const auto& [value, revisions] : applied) {
    RC_ASSERT(revisions.size() == 1U);
    RC_ASSERT(VerdictOf(owners.Outcomes().at(value).mOutcome.status()) !=
              Verdict::NotRun);
  }
  for (const auto& [value, reported] : owners.Outcomes()) {
    if (reported.mOutcome.ok()) {
      RC_ASSERT(applied.contains(value));
      RC_ASSERT(applied.at(value).front() == *reported.mOutcome);
    }
  }
}

} // namespace
} // namespace foxtailbarrow
