#include <chrono>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "tests/clients/SystemProcesses.h"

namespace foxtailbarrow::clients {

namespace {

constexpr std::size_t kHeaderBytes = 32'768;
constexpr std::size_t kBodyBytes = 1'200'000;
constexpr std::size_t kDefaultBodyBytes = 1UL << 20U;
constexpr std::size_t kSmallBody = 1000;
constexpr int kStatusLength = sizeof("HTTP/1.1 200") - 1;

/// Sends the bytes and returns the beginning of the answer, empty if there is
/// none for a generous time.
std::string AnswerTo(const Endpoint& aPeer, const std::string& aBytes)
{
  constexpr timeval kGenerousTime{ 20, 0 };
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPeer.mPort);
  address.sin_addr.s_addr = ::inet_addr(aPeer.mAddress.c_str());
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::setsockopt(
    socket, SOL_SOCKET, SO_RCVTIMEO, &kGenerousTime, sizeof(kGenerousTime));
  ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  ::send(socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  std::string answer(kStatusLength, '\0');
  const ssize_t count =
    ::recv(socket, answer.data(), answer.size(), MSG_WAITALL);
  ::close(socket);
  return count == kStatusLength ? answer : "";
}

struct LimitCase
{
  const char* mName;
  std::string mRequest;
  const char* mAnswer;
  std::size_t mMaxBodyBytes = kBodyBytes;
};

class OperatorLimitTest : public testing::TestWithParam<LimitCase>
{};

/// The configuration is in force some time after it is written.
TEST_P(OperatorLimitTest, IsInForce)
{
  SystemProcesses system(Process::Scheduler);
  Json::Value limits;
  limits["MaxHeaderBytes"] = Json::UInt64{ kHeaderBytes };
  limits["MaxBodyBytes"] = Json::UInt64{ GetParam().mMaxBodyBytes };
  limits["HeaderTimeoutMs"] = 300;
  limits["IdleTimeoutMs"] = 10'000;
  system.Configure(limits);
  const Endpoint callers =
    SystemProcesses::At(Process::Scheduler, SystemProcesses::kCallerPort);
  const Instant end = MonotonicNow() + std::chrono::seconds(20);
  constexpr unsigned kPauseUs = 100'000;
  std::string answer;
  do {
    ::usleep(kPauseUs);
    answer = AnswerTo(callers, GetParam().mRequest);
  } while (answer != GetParam().mAnswer && MonotonicNow() < end);
  EXPECT_EQ(answer, GetParam().mAnswer);
}

const std::string kPost = "POST /nothing HTTP/1.1\r\nHost: any\r\n";

std::string Length(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes) + "\r\n";
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  OperatorLimitTest,
  testing::Values(
    LimitCase{ "BodyAboveIt",
               kPost + Length(kBodyBytes + 1) + "Expect: 100-continue\r\n\r\n",
               "HTTP/1.1 413" },
    LimitCase{ "BodyBelowTheDefault",
               kPost + Length(kSmallBody + 1) + "Expect: 100-continue\r\n\r\n",
               "HTTP/1.1 413",
               kSmallBody },
    LimitCase{ "BodyWithinIt",
               kPost + Length(kDefaultBodyBytes + 1000) + "\r\n" +
                 std::string(kDefaultBodyBytes + 1000, 'a'),
               "HTTP/1.1 404" },
    LimitCase{ "HeaderAboveIt",
               kPost + "A: " + std::string(kHeaderBytes + 8192, 'a') +
                 "\r\n\r\n",
               "HTTP/1.1 431" },
    LimitCase{ "HeaderWithinIt",
               kPost + "A: " + std::string(kHeaderBytes - 100, 'a') +
                 "\r\n\r\n",
               "HTTP/1.1 404" },
    LimitCase{ "SlowHeader", kPost, "HTTP/1.1 408" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace

} // namespace foxtailbarrow::clients
