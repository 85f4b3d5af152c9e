#include "apps/ctl/CtlSettings.h"

#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "apps/ctl/TextTable.h"

namespace foxtailbarrow::ctl {
namespace {

using testing::HasSubstr;

struct BadLine
{
  std::vector<std::string> mArguments;
  std::vector<std::string> mExpectedTexts; ///< Of the error message.

  friend void PrintTo(const BadLine& aCase, std::ostream* aOut)
  {
    *aOut << testing::PrintToString(aCase.mArguments);
  }
};

class CommandLineRefused : public testing::TestWithParam<BadLine>
{};

TEST_P(CommandLineRefused, EndsWithTwoAndNamesWhatIsAllowed)
{
  std::ostringstream out;
  std::ostringstream err;
  const auto result = ParseCtlSettings(GetParam().mArguments, out, err);
  ASSERT_TRUE(std::holds_alternative<int>(result));
  EXPECT_EQ(std::get<int>(result), 2);
  for (const std::string& part : GetParam().mExpectedTexts) {
    EXPECT_THAT(err.str(), HasSubstr(part));
  }
}

const BadLine kBadLines[] = {
  { {}, { "subcommand: missing", "contracts, jobs, servers" } },
  { { "contracts" }, { "subcommand: missing", "check, apply" } },
  { { "dance" }, { "'dance'", "contracts, jobs" } },
  { { "contracts", "check" }, { "FILE: missing", "a readable file" } },
  { { "contracts", "apply", "a.json" }, { "--store", "missing", "IPv4" } },
  { { "contracts", "show", "Big Customer", "--store", "127.0.0.1:1" },
    { "CUSTOMER", "'Big Customer'", "a-z" } },
  { { "contracts", "remove", "--store", "127.0.0.1:1" },
    { "CUSTOMER: missing" } },
  { { "contracts",
      "apply",
      "a.json",
      "--store",
      "127.0.0.1:1",
      "--expect-revision",
      "-4" },
    { "--expect-revision", "'-4'", "whole number" } },
  { { "jobs", "list" }, { "--entry", "missing" } },
  { { "jobs", "list", "--entry", "127.0.0.1:1", "--state", "lost" },
    { "--state", "'lost'", "parked" } },
  { { "jobs", "explain", "--entry", "127.0.0.1:1" }, { "ID: missing" } },
  { { "jobs", "submit", "--entry", "127.0.0.1:1" }, { "--customer: missing" } },
  { { "jobs", "submit", "--entry", "127.0.0.1:1", "--customer", "c" },
    { "--program: missing" } },
  { { "jobs", "submit", "a.json", "--entry", "127.0.0.1:1", "--customer", "c" },
    { "either FILE or flags" } },
  { { "jobs", "submit", "--entry", "127.0.0.1:1", "--kind", "bulk" },
    { "--kind", "'bulk'", "standing" } },
  { { "jobs", "submit", "--entry", "127.0.0.1:1", "--millicores", "-1" },
    { "--millicores", "'-1'", "0.." } },
  { { "state", "localhost" }, { "ENDPOINT", "'localhost'", "127.0.0.1:8080" } },
};

INSTANTIATE_TEST_SUITE_P(Table,
                         CommandLineRefused,
                         testing::ValuesIn(kBadLines));

TEST(CtlSettings, ContainTheCommandAndItsFlags)
{
  std::ostringstream out;
  std::ostringstream err;
  const auto result = ParseCtlSettings({ "contracts",
                                         "apply",
                                         "a.json",
                                         "--store",
                                         "127.0.0.1:1,127.0.0.2:2",
                                         "--expect-revision",
                                         "7",
                                         "--json" },
                                       out,
                                       err);
  ASSERT_TRUE(std::holds_alternative<CtlSettings>(result)) << err.str();
  const auto& settings = std::get<CtlSettings>(result);
  const auto& apply = std::get<ContractsApply>(settings.mCommand);
  EXPECT_EQ(apply.mFile, "a.json");
  EXPECT_EQ(apply.mExpected, 7);
  EXPECT_EQ(settings.mStore.size(), 2U);
  EXPECT_TRUE(settings.mJson);
}

TEST(TextTable, AlignsColumns)
{
  TextTable table({ "A", "LONG" });
  table.Add({ "wide cell", "x" });
  table.Add({ "y" });
  EXPECT_EQ(table.Text(), "A          LONG\nwide cell  x\ny\n");
}

} // namespace
} // namespace foxtailbarrow::ctl
