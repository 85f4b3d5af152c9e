#include <vector>

#include <gtest/gtest.h>

#include "src/core/cell/OwnerSurvey.h"

namespace foxtailbarrow::cell::test {

namespace {

constexpr Generation kOwn = 7;

struct SurveyCase
{
  const char* mName;
  std::size_t mPeers;
  std::vector<Generation> mAnswers;
  bool mNoLaterOwner;
};

class OwnerSurveyTest : public testing::TestWithParam<SurveyCase>
{};

TEST_P(OwnerSurveyTest, DetectsWhetherALaterOwnerIsPossible)
{
  OwnerSurvey survey(GetParam().mPeers);
  for (const Generation known : GetParam().mAnswers) {
    survey.OnAnswer(known);
  }
  EXPECT_EQ(survey.HasNoLaterOwner(kOwn), GetParam().mNoLaterOwner);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  OwnerSurveyTest,
  testing::Values(SurveyCase{ "NoPeers", 0, {}, true },
                  SurveyCase{ "AllKnowThisOne", 2, { 7, 7 }, true },
                  SurveyCase{ "OneKnowsAnOlder", 2, { 7, 5 }, true },
                  SurveyCase{ "OneKnowsANewer", 2, { 7, 8 }, false },
                  SurveyCase{ "OneHasRestarted", 2, { 7, 0 }, false },
                  SurveyCase{ "OneIsSilent", 2, { 7 }, false },
                  SurveyCase{ "AllAreSilent", 2, {}, false }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::cell::test
