#include "src/telemetry/Settings.h"

#include <cstdlib>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace foxtailbarrow {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;

struct Program
{
  Settings mSettings{ "program", "A program for this test." };
  EntryId mId;
  Endpoint mListen{ "127.0.0.1", 0 };
  Endpoint mStore;
  std::vector<Endpoint> mSeeds;
  Duration mHeartbeat = seconds(1);
  unsigned mThreads = 2;
  double mShare = 0.5;
  std::string mShape = "steady";
  LogLevel mLevel = LogLevel::Info;
  bool mJson = false;
  std::ostringstream mOut;
  std::ostringstream mErr;

  Program()
  {
    mSettings.AddId("--id", mId, "id of this process").Required();
    mSettings.AddListen("listen", mListen, "where to listen");
    mSettings.AddEndpoint("--store", mStore, "the store").Required();
    mSettings.AddEndpoints("--seeds", mSeeds, "entries");
    mSettings.AddMilliseconds(
      "--heartbeat-ms", mHeartbeat, { milliseconds(10), hours(1) }, "period");
    mSettings.AddCount("--threads", mThreads, { 1, 64 }, "threads");
    mSettings.AddFraction("--share", mShare, { 0.0, 1.0 }, "share");
    mSettings.AddChoice("--shape", mShape, { "steady", "rush" }, "load");
    mSettings.AddLogLevel(mLevel);
    mSettings.AddSwitch("--json", mJson, "print JSON");
  }

  std::optional<int> Parse(std::vector<std::string> aArguments)
  {
    return mSettings.Parse(std::move(aArguments), mOut, mErr);
  }
};

const std::vector<std::string> kMinimal = { "--id",
                                            "entry-1",
                                            "--store",
                                            "127.0.0.1:1" };

struct BadSetting
{
  std::vector<std::string> mExtra;
  std::string mFlag;
  std::string mValue;
  std::string mAllowed;

  friend void PrintTo(const BadSetting& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mFlag << " " << aCase.mValue;
  }
};

class SettingRefused : public testing::TestWithParam<BadSetting>
{};

TEST_P(SettingRefused, NamesFlagValueAndAllowedValues)
{
  Program program;
  std::vector<std::string> arguments = GetParam().mExtra;
  if (GetParam().mFlag != "--id") {
    arguments.insert(arguments.end(), { "--id", "entry-1" });
  }
  if (GetParam().mFlag != "--store") {
    arguments.insert(arguments.end(), { "--store", "127.0.0.1:1" });
  }
  EXPECT_EQ(program.Parse(arguments), kExitUsage);
  EXPECT_THAT(program.mErr.str(), HasSubstr(GetParam().mFlag));
  EXPECT_THAT(program.mErr.str(), HasSubstr(GetParam().mValue));
  EXPECT_THAT(program.mErr.str(), HasSubstr(GetParam().mAllowed));
}

const BadSetting kBadSettings[] = {
  { {}, "--id", "missing", "a-z, 0-9 and -" },
  { { "--id", "Entry_1" }, "--id", "'Entry_1'", "a-z, 0-9 and -" },
  { { "--id", std::string(64, 'x') }, "--id", "'xxxx", "1 to 63" },
  { {}, "--store", "missing", "port in 1..65535" },
  { { "--store", "127.0.0.1:0" }, "--store", "'127.0.0.1:0'", "1..65535" },
  { { "--store", "localhost:80" }, "--store", "'localhost:80'", "IPv4" },
  { { "--listen", "127.0.0.1:70000" }, "--listen", ":70000'", "0..65535" },
  { { "--listen", "0" }, "--listen", "'0'", "0..65535" },
  { { "--seeds", "127.0.0.1:1,,127.0.0.1:2" }, "--seeds", "1,,127", "list" },
  { { "--heartbeat-ms", "9" }, "--heartbeat-ms", "'9'", "10..3600000" },
  { { "--heartbeat-ms", "1s" }, "--heartbeat-ms", "'1s'", "whole number" },
  { { "--threads", "0" }, "--threads", "'0'", "1..64" },
  { { "--threads", "99999999999999999999" }, "--threads", "'999", "1..64" },
  { { "--threads", "-1" }, "--threads", "'-1'", "1..64" },
  { { "--share", "1.5" }, "--share", "'1.5'", "0..1" },
  { { "--share", "nan" }, "--share", "'nan'", "0..1" },
  { { "--shape", "wild" }, "--shape", "'wild'", "steady, rush" },
  { { "--log-level", "loud" }, "--log-level", "'loud'", "error, warn" },
  { { "--json=perhaps" }, "--json", "perhaps", "true, false" },
  { { "--threads", "2", "--threads", "3" }, "--threads", "2", "1..64" },
  { { "--colour", "red" }, "--colour", "red", "--help" },
};

INSTANTIATE_TEST_SUITE_P(Table,
                         SettingRefused,
                         testing::ValuesIn(kBadSettings));

TEST(Settings, FillsEveryTarget)
{
  Program program;
  std::vector<std::string> arguments = kMinimal;
  arguments.insert(arguments.end(),
                   { "--listen",
                     "0.0.0.0:0",
                     "--seeds",
                     "127.0.0.1:5,127.0.0.2:6",
                     "--heartbeat-ms",
                     "250",
                     "--threads",
                     "8",
                     "--share",
                     "0.25",
                     "--shape",
                     "rush",
                     "--log-level",
                     "debug",
                     "--json" });
  EXPECT_EQ(program.Parse(arguments), std::nullopt) << program.mErr.str();
  EXPECT_EQ(program.mId, EntryId("entry-1"));
  EXPECT_EQ(program.mListen, (Endpoint{ "0.0.0.0", 0 }));
  EXPECT_EQ(program.mSeeds.size(), 2U);
  EXPECT_EQ(program.mHeartbeat, milliseconds(250));
  EXPECT_EQ(program.mThreads, 8U);
  EXPECT_EQ(program.mShare, 0.25);
  EXPECT_EQ(program.mShape, "rush");
  EXPECT_EQ(program.mLevel, LogLevel::Debug);
  EXPECT_TRUE(program.mJson);
}

TEST(Settings, KeepsDefaults)
{
  Program program;
  EXPECT_EQ(program.Parse(kMinimal), std::nullopt);
  EXPECT_EQ(program.mThreads, 2U);
  EXPECT_EQ(program.mLevel, LogLevel::Info);
}

struct Variable
{
  Variable(const char* aName, const char* aValue)
    : mName(aName)
  {
    setenv(aName, aValue, 1);
  }
  ~Variable() { unsetenv(mName); }
  const char* mName;
};

TEST(Settings, FlagTakesPrecedenceOverVariable)
{
  const Variable share("FOXTAILBARROW_HEARTBEAT_MS", "500");
  const Variable threads("FOXTAILBARROW_THREADS", "4");
  Program program;
  std::vector<std::string> arguments = kMinimal;
  arguments.insert(arguments.end(), { "--threads", "6" });
  EXPECT_EQ(program.Parse(arguments), std::nullopt);
  EXPECT_EQ(program.mHeartbeat, milliseconds(500));
  EXPECT_EQ(program.mThreads, 6U);
}

TEST(Settings, NamesTheVariableOfABadValue)
{
  const Variable threads("FOXTAILBARROW_THREADS", "many");
  Program program;
  EXPECT_EQ(program.Parse(kMinimal), kExitUsage);
  EXPECT_THAT(program.mErr.str(), HasSubstr("FOXTAILBARROW_THREADS"));
}

class SettingInformation : public testing::TestWithParam<const char*>
{};

TEST_P(SettingInformation, IsPrintedWithExitCodeZero)
{
  Program program;
  EXPECT_EQ(program.Parse({ GetParam() }), 0);
  EXPECT_FALSE(program.mOut.str().empty());
  EXPECT_TRUE(program.mErr.str().empty());
}

INSTANTIATE_TEST_SUITE_P(Flags,
                         SettingInformation,
                         testing::Values("--help", "--version"));

TEST(Settings, ChecksOnlyTheNamedSubcommand)
{
  Settings settings("program", "A program for this test.");
  std::string file;
  EntryId id;
  Settings& apply = settings.AddSubcommand("apply", "apply a file");
  apply.AddPositional("FILE", file, "a readable file").Required();
  Settings& show = settings.AddSubcommand("show", "show one");
  show.AddId("--id", id, "id").Required();
  std::ostringstream out;
  std::ostringstream err;
  EXPECT_EQ(settings.Parse({ "apply" }, out, err), kExitUsage);
  EXPECT_THAT(err.str(), HasSubstr("FILE: missing"));
  EXPECT_EQ(settings.Parse({ "apply", "a.json" }, out, err), std::nullopt);
  EXPECT_TRUE(apply.Chosen());
  EXPECT_FALSE(show.Chosen());
  EXPECT_EQ(file, "a.json");
  EXPECT_EQ(settings.Parse({}, out, err), kExitUsage);
}

} // namespace
} // namespace foxtailbarrow
