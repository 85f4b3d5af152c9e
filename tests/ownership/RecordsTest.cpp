#include <gtest/gtest.h>

#include "src/core/ownership/OwnershipSettings.h"
#include "src/core/ownership/Records.h"

namespace foxtailbarrow {
namespace {

using namespace std::chrono_literals;

TEST(OwnershipRecords, SurviveEncodingAndDecoding)
{
  const EntryRecord entry{ EntryId("e1"), 7, { "10.0.0.1", 80 }, 1234 };
  const ShardRecord shard{ EntryId("e1"), 1234, "e1/7/1", { 3, 5 } };
  const TenureRecord tenure{ EntryId("e1"),
                             7,
                             { { EntryId("e1"), { "10.0.0.1", 80 } } } };
  EXPECT_EQ(DecodeEntryRecord(Encode(entry)), entry);
  EXPECT_EQ(DecodeShardRecord(Encode(shard)), shard);
  EXPECT_EQ(DecodeTenureRecord(Encode(tenure)), tenure);
}

class BadRecord : public testing::TestWithParam<const char*>
{};

TEST_P(BadRecord, IsRejected)
{
  EXPECT_EQ(DecodeEntryRecord(GetParam()), std::nullopt);
  EXPECT_EQ(DecodeShardRecord(GetParam()), std::nullopt);
  EXPECT_EQ(DecodeTenureRecord(GetParam()), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
  Texts,
  BadRecord,
  testing::Values(
    "",
    "[]",
    "{",
    "{}",
    R"({"entry":1,"incarnation":1,"voters":{}})",
    R"({"entry":"e","incarnation":-1,"voters":{}})",
    R"({"entry":"e","incarnation":1,"voters":{"e":"nowhere"}})",
    R"({"entry":"e","incarnation":1,"endpoint":"x","tenure":1})",
    R"({"owner":"e","tenure":1,"token":"t","predecessors":[""]})"));

struct SettingsCase
{
  bool mGood;
  void (*mChange)(OwnershipSettings&);
};

class SettingsCheck : public testing::TestWithParam<SettingsCase>
{};

TEST_P(SettingsCheck, RejectsViolatedInequalities)
{
  OwnershipSettings settings;
  GetParam().mChange(settings);
  EXPECT_EQ(settings.Check(), GetParam().mGood);
}

using S = OwnershipSettings;

INSTANTIATE_TEST_SUITE_P(
  Settings,
  SettingsCheck,
  testing::Values(
    SettingsCase{ true, [](S&) {} },
    SettingsCase{ false, [](S& aSettings) { aSettings.mShards = 0; } },
    SettingsCase{ false, [](S& aSettings) { aSettings.mStoreLease = 3s; } },
    SettingsCase{ false, [](S& aSettings) { aSettings.mJoinWait = 3s; } },
    SettingsCase{ false,
                  [](S& aSettings) { aSettings.mAttestationValidity = 2s; } },
    SettingsCase{ false, [](S& aSettings) { aSettings.mRestartSilence = 8s; } },
    SettingsCase{ false,
                  [](S& aSettings) { aSettings.mTenureTimeout = 105min; } }));

} // namespace
} // namespace foxtailbarrow
