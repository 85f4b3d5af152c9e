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

/// What the entry of a test does with one attempt.
enum class Play : std::uint8_t
{
  Echo,
  EchoOther,   ///< The answer to another request.
  EchoDamaged, ///< Its own answer, cut short.
  NotRun,      ///< With Retry-After.
  NotRunForGood,
  NotRunUntilLater, ///< Retry-After lies beyond the deadline.
  MayHaveRun,
  Fail,
  Cut, ///< Closes the connection without an answer.
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

HttpResponse Perform(Play aPlay, const HttpRequest& aRequest)
{
  const std::string id(*aRequest.mHeaders.Find(kRequestIdHeader));
  HttpResponse response = Echo(aRequest, id);
  switch (aPlay) {
    case Play::Echo:
      return response;
    case Play::EchoOther:
      return Echo(aRequest, id + "x");
    case Play::EchoDamaged:
      response.mBody.resize(response.mBody.size() / 2);
      return response;
    case Play::NotRun:
      return Refuse("not-run", "0");
    case Play::NotRunForGood:
      return Refuse("not-run", nullptr);
    case Play::NotRunUntilLater:
      return Refuse("not-run", "60");
    case Play::MayHaveRun:
      return Refuse("may-have-run", "0");
    case Play::Fail:
      response.mStatus = 500;
      return response;
    case Play::Cut:
      response.mStatus = net::kCloseWithoutAnswer;
      return response;
  }
  return response;
}

struct ReplayCase
{
  std::string mName;
  std::string mMethod;
  std::vector<Play> mPlays; ///< One an attempt; the last one repeats.
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
  HttpResponse Answer(const HttpRequest& aRequest)
  {
    const std::lock_guard lock(mMutex);
    const Play play = mPlays.front();
    if (mPlays.size() > 1) {
      mPlays.pop_front();
    }
    return Perform(play, aRequest);
  }

  std::mutex mMutex; ///< Guards mPlays.
  std::deque<Play> mPlays;
};

TEST_P(Replayed, EndsAsACallerSeesIt)
{
  mPlays.assign(GetParam().mPlays.begin(), GetParam().mPlays.end());
  net::FiberRuntime runtime(1);
  const auto server = net::HttpServer::Start(
    runtime, { "127.0.0.1", 0 }, [this](HttpRequest& aRequest) {
      return Answer(aRequest);
    });
  ASSERT_TRUE(server.ok());
  net::HttpClient client(runtime);
  ReplayContext context{ client, { (*server)->ListeningEndpoint() }, 3, "run" };
  RequestTracker book;
  TraceRequest line;
  line.mCustomer = CustomerId("hydro");
  line.mMethod = GetParam().mMethod;
  line.mPath = "/trips/1";
  line.mBodyBytes = 1000;
  line.mDeadlineMs = 20'000;
  runtime.RunAndWait([&] {
    book.Begin();
    RequestReplayer(context, book).Replay(line, 5, MonotonicNow());
  });
  EXPECT_EQ(book.InProgress(), 0);
  ASSERT_EQ(book.Requests().size(), 1U);
  const std::vector<Attempt>& attempts = book.Requests()[0].mAttempts;
  ASSERT_EQ(attempts.size(), GetParam().mAttempts);
  EXPECT_EQ(attempts.back().mEnd, GetParam().mEnd);
  EXPECT_EQ(attempts.back().mRequestId,
            "run-5-" + std::to_string(attempts.size() - 1));
}

const ReplayCase kReplayCases[] = {
  { "answered", "POST", { Play::Echo }, AttemptEnd::Answered, 1 },
  { "other request", "GET", { Play::EchoOther }, AttemptEnd::WrongAnswer, 1 },
  { "cut answer", "GET", { Play::EchoDamaged }, AttemptEnd::WrongAnswer, 1 },
  { "again after not run",
    "POST",
    { Play::NotRun, Play::NotRun, Play::Echo },
    AttemptEnd::Answered,
    3 },
  { "bounded", "POST", { Play::NotRun }, AttemptEnd::NotRun, 4 },
  { "final", "POST", { Play::NotRunForGood }, AttemptEnd::NotRun, 1 },
  { "too late", "GET", { Play::NotRunUntilLater }, AttemptEnd::NotRun, 1 },
  { "may have run, not idempotent",
    "POST",
    { Play::MayHaveRun },
    AttemptEnd::MayHaveRun,
    1 },
  { "may have run, idempotent",
    "PUT",
    { Play::MayHaveRun, Play::Echo },
    AttemptEnd::Answered,
    2 },
  { "failed", "GET", { Play::Fail }, AttemptEnd::Failed, 1 },
  { "broken off, not idempotent",
    "POST",
    { Play::Cut },
    AttemptEnd::Unanswered,
    1 },
  { "broken off, idempotent",
    "GET",
    { Play::Cut, Play::Echo },
    AttemptEnd::Answered,
    2 },
};

INSTANTIATE_TEST_SUITE_P(Table, Replayed, testing::ValuesIn(kReplayCases));

} // namespace
} // namespace foxtailbarrow::replay
