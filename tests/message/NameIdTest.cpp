#include "src/core/message/NameId.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace foxtailbarrow {
namespace {

struct NameCase
{
  const char* mName;
  std::string mText;
  std::string mId;
};

class NameIdTest : public testing::TestWithParam<NameCase>
{};

TEST_P(NameIdTest, IsAnIdentifierOfTheName)
{
  const std::string id = IdFromName(GetParam().mText);
  EXPECT_EQ(id, GetParam().mId);
  EXPECT_TRUE(IsIdentifier(id));
  EXPECT_EQ(NameFromId(id), GetParam().mText);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  NameIdTest,
  testing::Values(NameCase{ "Plain", "r1-3", "r1-3" },
                  NameCase{ "WithPort", "10.0.0.1:80", "10.0.0.1:80" },
                  NameCase{ "Empty", "", "x:" },
                  NameCase{ "Slash", "r1/3", "x:r1.2f3" },
                  NameCase{ "Space", "r 1.3", "x:r.201.2e3" },
                  NameCase{ "LooksEncoded", "x:r1", "x:x.3ar1" },
                  NameCase{ "Nul", std::string("a\0b", 3), "x:a.00b" },
                  NameCase{ "NotAscii", "\xc5\xbc", "x:.c5.bc" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

/// Guards against two names with one identifier, and against identifiers that
/// no record or message can have.
RC_GTEST_PROP(NameIdProperty, NamesAndIdentifiersCorrespond, ())
{
  const auto first = *rc::gen::arbitrary<std::string>();
  const auto second = *rc::gen::arbitrary<std::string>();
  const std::string id = IdFromName(first);
  RC_ASSERT(IsIdentifier(id));
  RC_ASSERT((IdFromName(second) == id) == (first == second));
  const auto name = NameFromId(id);
  RC_ASSERT(!name || *name == first);
}

TEST(NameIdProperty, LongNamesDifferByTheirHash)
{
  const std::string longName(5'000, '/');
  const std::string id = IdFromName(longName);
  EXPECT_TRUE(IsIdentifier(id));
  EXPECT_EQ(NameFromId(id), std::nullopt);
  EXPECT_NE(id, IdFromName(longName + "/"));
  EXPECT_EQ(id, IdFromName(longName));
}

} // namespace
} // namespace foxtailbarrow
