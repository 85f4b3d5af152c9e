#include "src/core/membership/HeartbeatSchedule.h"

#include <algorithm>
#include <map>
#include <ostream>
#include <random>

#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{ std::chrono::hours(1) };
constexpr double kBudget = 8.0 * 1024;

std::vector<Endpoint> EntriesOf(std::size_t aCount)
{
  std::vector<Endpoint> entries;
  for (std::size_t i = 0; i < aCount; ++i) {
    entries.push_back({ "10.1.0." + std::to_string(i), 9000 });
  }
  return entries;
}

struct IntervalCase
{
  std::size_t mEntries;
  double mBytes;
  Duration mAtLeast;
  Duration mAtMost;
};

void PrintTo(const IntervalCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.mEntries << " entries, " << aCase.mBytes << " bytes";
}

class Interval : public testing::TestWithParam<IntervalCase>
{};

TEST_P(Interval, GrowsWithEntriesTimesSize)
{
  const Duration interval =
    HeartbeatInterval({}, GetParam().mEntries, GetParam().mBytes);
  EXPECT_GE(interval, GetParam().mAtLeast);
  EXPECT_LE(interval, GetParam().mAtMost);
}

INSTANTIATE_TEST_SUITE_P(
  All,
  Interval,
  testing::Values(
    IntervalCase{ 0, 1200, seconds(1), seconds(1) },
    IntervalCase{ 3, 1200, seconds(1), seconds(1) },
    IntervalCase{ 6, 1200, milliseconds(1004), milliseconds(1005) },
    IntervalCase{ 64, 1200, milliseconds(10714), milliseconds(10715) },
    IntervalCase{ 64, 300, milliseconds(2678), milliseconds(2679) }));

class Schedule : public testing::TestWithParam<std::size_t>
{};

TEST_P(Schedule, StaysWithinTheBudgetAndServesEveryEntry)
{
  constexpr std::size_t kBytes = 1200;
  constexpr seconds kDuration(200);
  std::mt19937_64 random(1);
  HeartbeatSchedule schedule;
  for (int i = 0; i < 100; ++i) {
    schedule.RecordExchangeSize(kBytes);
  }
  schedule.SetEntries(EntriesOf(GetParam()), kStart, random);
  std::map<Endpoint, Instant> lastSent;
  std::map<std::int64_t, std::size_t> bytesInSecond;
  Duration longestGap{};
  for (Instant now = schedule.NextDue(); now < kStart + kDuration;
       now = schedule.NextDue()) {
    for (const Endpoint& entry : schedule.Due(now, random)) {
      const auto [last, isNew] = lastSent.try_emplace(entry, kStart);
      longestGap = std::max(longestGap, now - last->second);
      last->second = now;
      bytesInSecond[(now - kStart) / seconds(1)] += kBytes;
    }
  }
  std::size_t total = 0;
  for (const auto& [second, bytes] : bytesInSecond) {
    total += bytes;
  }
  EXPECT_EQ(lastSent.size(), GetParam());
  EXPECT_LE(longestGap, schedule.Interval());
  EXPECT_LE(static_cast<double>(total) / kDuration.count(), kBudget);
}

INSTANTIATE_TEST_SUITE_P(All, Schedule, testing::Values(1U, 3U, 16U, 64U));

TEST(HeartbeatSchedule, SpreadsAgentsThatStartTogether)
{
  std::mt19937_64 random(1);
  std::map<std::int64_t, int> firstInTenth;
  for (int agent = 0; agent < 1000; ++agent) {
    HeartbeatSchedule schedule;
    schedule.SetEntries(EntriesOf(1), kStart, random);
    ++firstInTenth[(schedule.NextDue() - kStart) / milliseconds(100)];
  }
  for (const auto& [tenth, count] : firstInTenth) {
    EXPECT_LT(count, 200);
  }
}

TEST(HeartbeatSchedule, KeepsTheScheduleOfKnownEntriesAndMakesAllDue)
{
  std::mt19937_64 random(1);
  HeartbeatSchedule schedule;
  schedule.SetEntries(EntriesOf(2), kStart, random);
  schedule.MakeAllDue(kStart);
  EXPECT_EQ(schedule.Due(kStart, random).size(), 2U);
  schedule.Due(kStart + seconds(2), random);
  schedule.SetEntries(EntriesOf(3), kStart + seconds(2), random);
  EXPECT_LE(schedule.Due(kStart + seconds(2), random).size(), 1U);
  EXPECT_EQ(schedule.Due(kStart + seconds(3), random).size(), 3U);
}

} // namespace
} // namespace foxtailbarrow
