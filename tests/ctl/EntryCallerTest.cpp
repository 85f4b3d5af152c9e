#include "apps/ctl/EntryCaller.h"

#include <atomic>

#include <gtest/gtest.h>

#include "foxtailbarrow/Verdict.h"
#include "src/net/HttpServer.h"

namespace foxtailbarrow::ctl {
namespace {

/// Behavior of the first entry; the second one always answers.
enum class FirstEntryBehavior : std::uint8_t
{
  Answers,
  IsUnreachable, ///< Nothing listens at its endpoint.
  LosesReply,    ///< Reads the request and closes the connection.
};

struct CallCase
{
  std::string mName;
  FirstEntryBehavior mFirstBehavior;
  bool mRepeatable;
  bool mAnswered;
  int mCallsOfSecond;

  friend void PrintTo(const CallCase& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mName;
  }
};

class EntryCall : public testing::TestWithParam<CallCase>
{
protected:
  Endpoint Serve(unsigned aStatus, std::atomic<int>& aCalls)
  {
    auto server = net::HttpServer::Start(
      mRuntime, { "127.0.0.1", 0 }, [aStatus, &aCalls](net::HttpRequest&) {
        ++aCalls;
        net::HttpResponse response;
        response.mStatus = aStatus;
        return response;
      });
    mServers.push_back(*std::move(server));
    return mServers.back()->ListeningEndpoint();
  }

  Endpoint FirstEntry()
  {
    switch (GetParam().mFirstBehavior) {
      case FirstEntryBehavior::Answers:
        return Serve(200, mCallsOfFirst);
      case FirstEntryBehavior::LosesReply:
        return Serve(net::kCloseWithoutAnswer, mCallsOfFirst);
      case FirstEntryBehavior::IsUnreachable:
        break;
    }
    const Endpoint endpoint = Serve(200, mCallsOfFirst);
    mServers.pop_back();
    return endpoint;
  }

  std::atomic<int> mCallsOfFirst{ 0 };
  std::atomic<int> mCallsOfSecond{ 0 };
  net::FiberRuntime mRuntime{ 1 };
  std::vector<std::unique_ptr<net::HttpServer>> mServers;
};

TEST_P(EntryCall, TriesTheNextEntryOnlyIfThatIsSafe)
{
  const Endpoint first = FirstEntry();
  const Endpoint second = Serve(200, mCallsOfSecond);
  net::HttpClient client(mRuntime);
  EntryCaller caller(client, { first, second }, std::chrono::seconds(20));
  net::HttpRequest request;
  request.mMethod = "POST";
  absl::StatusOr<net::HttpResponse> response;
  mRuntime.RunAndWait(
    [&] { response = caller.Call(request, GetParam().mRepeatable); });
  EXPECT_EQ(response.ok(), GetParam().mAnswered) << response.status();
  EXPECT_EQ(mCallsOfSecond, GetParam().mCallsOfSecond);
  if (!response.ok()) {
    EXPECT_EQ(VerdictOf(response.status()), Verdict::MayHaveRun);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  EntryCall,
  testing::Values(
    CallCase{ "first answers", FirstEntryBehavior::Answers, false, true, 0 },
    CallCase{ "first is unreachable",
              FirstEntryBehavior::IsUnreachable,
              false,
              true,
              1 },
    CallCase{ "reply lost, repeatable",
              FirstEntryBehavior::LosesReply,
              true,
              true,
              1 },
    CallCase{ "reply lost, not repeatable",
              FirstEntryBehavior::LosesReply,
              false,
              false,
              0 }));

} // namespace
} // namespace foxtailbarrow::ctl
