#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/message/RandomMessage.h"

namespace foxtailbarrow {
namespace {

struct AnyValue
{
  template<typename T>
  operator T() const; // NOLINT: stands for a value of any field
};

/// Number of members of an aggregate: the longest list of initialisers that it
/// takes.
template<typename T, typename... Members>
consteval std::size_t MemberCount()
{
  if constexpr (requires { T{ Members{}..., AnyValue{} }; }) {
    return MemberCount<T, Members..., AnyValue>();
  } else {
    return sizeof...(Members);
  }
}

template<typename T>
class RoundTrip : public testing::Test
{
};

using Types = testing::Types<Resources,
                             Endpoint,
                             Contract,
                             JobSpec,
                             JobRecord,
                             TaskKey,
                             TaskStart,
                             TaskStatus,
                             UsageSample,
                             WorkerView,
                             LoadReport,
                             TaskReport,
                             Heartbeat,
                             ShardLease,
                             HeartbeatReply,
                             Assign,
                             AssignReply,
                             Control,
                             ControlReply,
                             Revoke,
                             RevokeReply,
                             JobChanged,
                             JobChangedReply>;
TYPED_TEST_SUITE(RoundTrip, Types);

TYPED_TEST(RoundTrip, GivesTheSameMessageBack)
{
  EXPECT_TRUE(rc::check([] {
    TypeParam message;
    detail::RandomFields fields;
    Fields(fields, message);
    const auto back = FromJsonText<TypeParam>(ToJsonText(message));
    RC_ASSERT(back.ok());
    RC_ASSERT(*back == message);
  }));
}

TYPED_TEST(RoundTrip, CoversEveryMember)
{
  rc::check([] {
    TypeParam message;
    detail::RandomFields fields;
    Fields(fields, message);
    EXPECT_EQ(fields.Count(), MemberCount<TypeParam>());
  });
}

TYPED_TEST(RoundTrip, RefusesAnUnknownField)
{
  Json::Value value(Json::objectValue);
  value["surprise"] = 1;
  FieldProblems problems;
  DecodeJson<TypeParam>(value, problems);
  ASSERT_FALSE(problems.empty());
  EXPECT_EQ(problems.back().mField, "surprise");
}

} // namespace
} // namespace foxtailbarrow
