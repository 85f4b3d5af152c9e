// Load generator for one or more HTTP endpoints.
//
// Closed loop (--rate 0): each connection sends its next request as soon as it
// has received the response. Open loop: requests are due at fixed times, and
// latency is measured from the due time, which avoids coordinated omission.
// Prints one line of JSON: requests, errors, warm-up requests, throughput, and
// latencies in microseconds.

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <iostream>
#include <mutex>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <boost/fiber/operations.hpp>
#include <json/json.h>

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Time.h"
#include "src/net/FiberRuntime.h"
#include "src/net/HttpClient.h"

namespace {

using namespace foxtailbarrow;

constexpr Duration kBusyWaitTime = std::chrono::milliseconds(2);

struct LoadSettings
{
  std::vector<std::string> mTargets;
  std::string mCustomer = "bench";
  unsigned mThreads = 4;
  unsigned mConnections = 16;
  double mRate = 0.0;
  double mSeconds = 5.0;
  double mWarmUpSeconds = 1.0;
  std::size_t mBodyBytes = 0;
};

/// Latencies and errors of one connection.
struct ConnectionResult
{
  std::vector<std::uint32_t> mLatenciesUs;
  std::uint64_t mErrors = 0;
  std::uint64_t mWarmUpRequests = 0;
};

class Load
{
public:
  explicit Load(const LoadSettings& aSettings)
    : mSettings(aSettings)
    , mRuntime(aSettings.mThreads)
    , mClient(mRuntime)
    , mResults(aSettings.mConnections)
  {
    for (const std::string& target : aSettings.mTargets) {
      mEndpoints.push_back(ParseEndpoint(target).value());
    }
  }

  Json::Value Run()
  {
    mStart = MonotonicNow();
    mMeasureFrom = mStart + Seconds(mSettings.mWarmUpSeconds);
    mEnd = mMeasureFrom + Seconds(mSettings.mSeconds);
    std::atomic<unsigned> running{ mSettings.mConnections };
    for (unsigned i = 0; i < mSettings.mConnections; ++i) {
      mRuntime.SpawnOn(i % mSettings.mThreads, [this, i, &running] {
        Connection(i);
        running.fetch_sub(1);
        running.notify_all();
      });
    }
    for (unsigned remaining = running; remaining != 0; remaining = running) {
      running.wait(remaining);
    }
    return Summary();
  }

private:
  static Duration Seconds(double aSeconds)
  {
    return Duration(static_cast<std::int64_t>(aSeconds * 1e6));
  }

  /// Waits until `aDue`, with a busy wait at the end: the runtime's timed
  /// waits, like epoll's, end up to a millisecond late, which would count as
  /// latency.
  static void AwaitDue(Instant aDue)
  {
    boost::this_fiber::sleep_until(aDue - kBusyWaitTime);
    while (MonotonicNow() < aDue) {
      boost::this_fiber::yield();
    }
  }

  net::HttpRequest Request() const
  {
    net::HttpRequest request;
    request.mMethod = mSettings.mBodyBytes == 0 ? "GET" : "POST";
    request.mTarget = "/bench";
    request.mHeaders.Set("Foxtailbarrow-Customer", mSettings.mCustomer);
    request.mBody.assign(mSettings.mBodyBytes, 'x');
    return request;
  }

  void Connection(unsigned aIndex)
  {
    const net::HttpRequest request = Request();
    const Endpoint& endpoint = mEndpoints[aIndex % mEndpoints.size()];
    const Duration interval =
      mSettings.mRate > 0 ? Seconds(mSettings.mConnections / mSettings.mRate)
                          : Duration::zero();
    Instant due = mStart + interval * aIndex / mSettings.mConnections;
    while (true) {
      if (interval > Duration::zero()) {
        AwaitDue(due);
      } else {
        due = MonotonicNow();
      }
      if (due >= mEnd) {
        return;
      }
      const auto response =
        mClient.Call(endpoint, request, std::chrono::seconds(5));
      Record(mResults[aIndex], response, due);
      due += interval;
    }
  }

  void Record(ConnectionResult& aResult,
              const absl::StatusOr<net::HttpResponse>& aResponse,
              Instant aDue) const
  {
    if (aDue < mMeasureFrom) {
      ++aResult.mWarmUpRequests;
      return;
    }
    if (!aResponse.ok() || aResponse->mStatus != 200) {
      ++aResult.mErrors;
      return;
    }
    aResult.mLatenciesUs.push_back(
      static_cast<std::uint32_t>((MonotonicNow() - aDue).count()));
  }

  Json::Value Summary() const
  {
    std::vector<std::uint32_t> all;
    std::uint64_t errors = 0;
    std::uint64_t warmUpRequests = 0;
    for (const ConnectionResult& result : mResults) {
      all.insert(
        all.end(), result.mLatenciesUs.begin(), result.mLatenciesUs.end());
      errors += result.mErrors;
      warmUpRequests += result.mWarmUpRequests;
    }
    std::ranges::sort(all);
    const auto quantile = [&all](double aQuantile) {
      return all.empty() ? 0U
                         : all[static_cast<std::size_t>(
                             aQuantile * static_cast<double>(all.size() - 1))];
    };
    Json::Value summary;
    summary["requests"] = Json::UInt64(all.size());
    summary["errors"] = Json::UInt64(errors);
    summary["warmUpRequests"] = Json::UInt64(warmUpRequests);
    summary["perSecond"] = static_cast<double>(all.size()) / mSettings.mSeconds;
    summary["p50Us"] = quantile(0.5);
    summary["p99Us"] = quantile(0.99);
    summary["p999Us"] = quantile(0.999);
    return summary;
  }

  LoadSettings mSettings;
  net::FiberRuntime mRuntime;
  net::HttpClient mClient;
  std::vector<Endpoint> mEndpoints;
  std::vector<ConnectionResult> mResults;
  Instant mStart{};
  Instant mMeasureFrom{};
  Instant mEnd{};
};

} // namespace

int main(int argc, char** argv)
{
  LoadSettings settings;
  CLI::App app("Sends HTTP requests at a fixed rate or as fast as answered.");
  app.add_option("--targets", settings.mTargets, "address:port, several")
    ->required()
    ->delimiter(',');
  app.add_option("--customer", settings.mCustomer);
  app.add_option("--threads", settings.mThreads);
  app.add_option("--connections", settings.mConnections);
  app.add_option("--rate", settings.mRate, "requests/s; 0 = closed loop");
  app.add_option("--seconds", settings.mSeconds);
  app.add_option("--warm-up", settings.mWarmUpSeconds, "seconds");
  app.add_option("--body-bytes", settings.mBodyBytes);
  CLI11_PARSE(app, argc, argv);

  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  std::cout << Json::writeString(writer, Load(settings).Run()) << "\n";
  return 0;
}
