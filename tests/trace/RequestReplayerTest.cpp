#include "apps/replay/RequestReplayer.h"

#include <deque>
#include <mutex>

#include <gtest/gtest.h>

#include "apps/replay/CallerMessage.h"
#include "foxtailbarrow/RequestHeaders.h"
#include "src/core/message/Json.h"
#include "src/net/HttpServer.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtailbarrow::replay {
namespace {

using net::HttpRequest;
using net::HttpResponse;

/// Reaction of the entry to an attempt.
enum class Reaction : std::uint8_t
{
  Echo,
  EchoOther,        ///< The response to another request.
  EchoDamaged,      ///< Its own response, truncated.
  NotRun,           ///< With Retry-After: 0.
  NotRunFinally,    ///< Without Retry-After.
  NotRunUntilLater, ///< Retry-After is beyond the deadline.
  MayHaveRun,
  Fail,
  Cut, ///< Closes the connection without a response.
};

HttpResponse Echo(const HttpRequest& aRequest, const std::string& aId)
{
  Json::Value echo(Json::objectValue);
  echo["requestId"] = aId;
  echo["method"] = aRequest.mMethod;
  echo["target"] = aRequest.mTarget;
  char hash[17];
  std::snprintf(hash,
                sizeof(hash),
                "%016llx",
                static_cast<unsigned long long>(
                  XXH3_64bits(aRequest.mBody.data(), aRequest.mBody.size())));
  echo["bodyHash"] = hash;
  HttpResponse response;
  response.mBody = FormatJson(echo);
  return response;
}

HttpResponse Refuse(const char* aVerdict, const char* aRetryAfter)
{
  HttpResponse response;
  response.mStatus = 503;
  response.mHeaders.Set(net::kVerdictHeader, aVerdict);
  if (aRetryAfter != nullptr) {
    response.mHeaders.Set(kRetryAfterHeader, aRetryAfter);
  }
  return response;
}

HttpResponse React(Reaction aReaction, const HttpRequest& aRequest)
{
  const std::string id(*aRequest.mHeaders.Find(kRequestIdHeader));
  HttpResponse response = Echo(aRequest, id);
  switch (aReaction) {
    case Reaction::Echo:
      return response;
    case Reaction::EchoOther:
      return Echo(aRequest, id + "x");
    case Reaction::EchoDamaged:
      response.mBody.resize(response.mBody.size() / 2);
      return response;
    case Reaction::NotRun:
      return Refuse("not-run", "0");
    case Reaction::NotRunFinally:
      return Refuse("not-run", nullptr);
    case Reaction::NotRunUntilLater:
      return Refuse("not-run", "60");
    case Reaction::MayHaveRun:
      return Refuse("may-have-run", "0");
    case Reaction::Fail:
      response.mStatus = 500;
      return response;
    case Reaction::Cut:
      response.mStatus = net::kCloseWithoutAnswer;
      return response;
  }
  return response;
}

struct ReplayCase
{
  std::string mName;
  std::string mMethod;
  std::vector<Reaction> mReactions; ///< One per attempt; the last one repeats.
  AttemptEnd mEnd;
  std::size_t mAttempts;

  friend void PrintTo(const ReplayCase& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mName;
  }
};

class Replayed : public testing::TestWithParam<ReplayCase>
{
protected:
  HttpResponse Respond(const HttpRequest& aRequest)
  {
    const std::lock_guard lock(mMutex);
    const Reaction reaction = mReactions.front();
    if (mReactions.size() > 1) {
      mReactions.pop_front();
    }
    return React(reaction, aRequest);
  }

  std::mutex mMutex; ///< Guards mReactions.
  std::deque<Reaction> mReactions;
};

TEST_P(Replayed, EndsWithTheOutcomeOfItsLastAttempt)
{
  mReactions.assign(GetParam().mReactions.begin(), GetParam().mReactions.end());
  net::FiberRuntime runtime(1);
  const auto server = net::HttpServer::Start(
    runtime, { "127.0.0.1", 0 }, [this](HttpRequest& aRequest) {
      return Respond(aRequest);
    });
  ASSERT_TRUE(server.ok());
  net::HttpClient client(runtime);
  ReplayContext context{ client, { (*server)->ListeningEndpoint() }, 3, "run" };
  RequestTracker tracker;
  TraceRequest line;
  line.mCustomer = CustomerId("hydro");
  line.mMethod = GetParam().mMethod;
  line.mPath = "/trips/1";
  line.mBodyBytes = 1000;
  line.mDeadlineMs = 20'000;
  runtime.RunAndWait([&] {
    tracker.OnDue();
    RequestReplayer(context, tracker).Replay(line, 5, MonotonicNow());
  });
  EXPECT_EQ(tracker.InProgress(), 0);
  ASSERT_EQ(tracker.Requests().size(), 1U);
  const std::vector<Attempt>& attempts = tracker.Requests()[0].mAttempts;
  ASSERT_EQ(attempts.size(), GetParam().mAttempts);
  EXPECT_EQ(attempts.back().mEnd, GetParam().mEnd);
  EXPECT_EQ(attempts.back().mRequestId,
            "run-5-" + std::to_string(attempts.size() - 1));
}

const ReplayCase kReplayCases[] = {
  { "answered", "POST", { Reaction::Echo }, AttemptEnd::Answered, 1 },
  { "response to another request",
    "GET",
    { Reaction::EchoOther },
    AttemptEnd::WrongAnswer,
    1 },
  { "truncated response",
    "GET",
    { Reaction::EchoDamaged },
    AttemptEnd::WrongAnswer,
    1 },
  { "retried after not run",
    "POST",
    { Reaction::NotRun, Reaction::NotRun, Reaction::Echo },
    AttemptEnd::Answered,
    3 },
  { "retries are bounded",
    "POST",
    { Reaction::NotRun },
    AttemptEnd::NotRun,
    4 },
  { "not run, without Retry-After",
    "POST",
    { Reaction::NotRunFinally },
    AttemptEnd::NotRun,
    1 },
  { "Retry-After beyond the deadline",
    "GET",
    { Reaction::NotRunUntilLater },
    AttemptEnd::NotRun,
    1 },
  { "may have run, not idempotent",
    "POST",
    { Reaction::MayHaveRun },
    AttemptEnd::MayHaveRun,
    1 },
  { "may have run, idempotent",
    "PUT",
    { Reaction::MayHaveRun, Reaction::Echo },
    AttemptEnd::Answered,
    2 },
  { "failed", "GET", { Reaction::Fail }, AttemptEnd::Failed, 1 },
  { "connection closed, not idempotent",
    "POST",
    { Reaction::Cut },
    AttemptEnd::Unanswered,
    1 },
  { "connection closed, idempotent",
    "GET",
    { Reaction::Cut, Reaction::Echo },
    AttemptEnd::Answered,
    2 },
};

INSTANTIATE_TEST_SUITE_P(Table, Replayed, testing::ValuesIn(kReplayCases));

} // namespace
} // namespace foxtailbarrow::replay
